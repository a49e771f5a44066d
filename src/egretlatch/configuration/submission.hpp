#ifndef EGRETLATCH_CONFIGURATION_SUBMISSION_HPP
#define EGRETLATCH_CONFIGURATION_SUBMISSION_HPP

#include <optional>
#include <string>

#include <QByteArray>

#include <egretlatch/configuration/head.hpp>
#include <egretlatch/store/identified_write.hpp>
#include <egretlatch/store/requests.hpp>

namespace egretlatch::configuration
{

/*! @brief A manifest that somebody wants accepted as the version after `base`. */
struct SubmissionRequest
{
    /*! @brief Version that the manifest was made from; zero for the first of all. */
    std::uint64_t base{};
    QByteArray manifest;
    /*! @brief Names this submission; the same id again is the same submission. */
    std::string id;
    std::string submitter;
    WallTime submitted;

    friend bool operator==(const SubmissionRequest &, const SubmissionRequest &) = default;
};

/*! @brief How a submission ended. */
enum class SubmissionEnd {
    /*! @brief The manifest is the version after the base, for ever. */
    accepted,
    /*! @brief Another submission is the version after the base; this one has no effect and never will. */
    conflict,
    /*! @brief There is no such base yet. */
    baseUnknown,
    /*! @brief The version after the base is too old for its row to be kept. */
    baseTooOld,
    /*! @brief The platform does not accept the token, or not the request. */
    refused,
};

/*! @brief The end of a submission with what an operator wants to know. */
struct SubmissionResult
{
    SubmissionEnd end{};
    /*! @brief Row of the version after the base: this submission, or the winner. */
    std::optional<Head> row;
    /*! @brief Newest accepted version that was seen; zero if none. */
    std::uint64_t newest{};

    friend bool operator==(const SubmissionResult &, const SubmissionResult &) = default;
};

/*! @brief How a submission goes on after an outcome. */
enum class SubmissionStep {
    /*! @brief Ask request() at once. */
    ask,
    /*! @brief Ask request() after a backoff. */
    askLater,
    /*! @brief result() tells the end. */
    finished,
};

/**
 * @brief The steps by which a manifest is accepted; does no input or output.
 *
 * The manifest goes to the object store under its hash; then one transaction moves the head row from the base to the
 * version after it and creates that version's own row, which holds the submission id. The version's row is the marker
 * that resolves a lost answer, also long after the head has moved on.
 */
class Submission
{
public:
    /**
     * @brief Builds a submission that has not begun.
     * @param request What is submitted.
     */
    explicit Submission(SubmissionRequest request);

    /**
     * @brief Gives what to ask the platform next.
     * @return The request.
     */
    [[nodiscard]] store::Request request() const;

    /**
     * @brief Takes the outcome of request().
     * @param outcome The outcome.
     * @return How it goes on.
     */
    [[nodiscard]] SubmissionStep take(const store::Outcome &outcome);

    [[nodiscard]] const SubmissionResult &result() const noexcept
    {
        return m_result;
    }

    /**
     * @brief Tells whether the submission may still be accepted if it is given up now.
     * @return True from a lost answer until the end is known.
     */
    [[nodiscard]] bool isOutcomeUnknown() const noexcept
    {
        return m_write.has_value() && m_write->isOutcomeUnknown();
    }

private:
    enum class Stage {
        readHead,
        readVersion,
        putManifest,
        writeHead,
    };

    [[nodiscard]] SubmissionStep handleHeadRow(const store::RowsReply &reply);
    [[nodiscard]] SubmissionStep handleVersionRow(const store::RowsReply &reply);
    [[nodiscard]] SubmissionStep handleWriteOutcome(const store::Outcome &outcome);
    [[nodiscard]] SubmissionStep finish(SubmissionEnd end, const std::optional<Head> &row = std::nullopt);
    [[nodiscard]] store::IdentifiedWrite makeWrite(std::uint64_t headRowVersion) const;

    SubmissionRequest m_request;
    Head m_head;
    Stage m_stage{Stage::readHead};
    std::uint64_t m_headRowVersion{};
    std::optional<store::IdentifiedWrite> m_write;
    SubmissionResult m_result;
};

} // namespace egretlatch::configuration

#endif
