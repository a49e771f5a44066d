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

/*! @brief Request to accept a manifest as the version after `base`. */
struct SubmissionRequest
{
    /*! @brief Version that the manifest is based on; zero for the first one. */
    std::uint64_t base{};
    QByteArray manifest;
    /*! @brief Identifies this submission; sending the same id and manifest again is idempotent. */
    std::string id;
    std::string submitter;
    WallTime submitted;

    friend bool operator==(const SubmissionRequest &, const SubmissionRequest &) = default;
};

/*! @brief Final result of a submission. */
enum class SubmissionEnd {
    /*! @brief The manifest is the version after the base; this is permanent. */
    accepted,
    /*! @brief Another submission became the version after the base; this one has no effect and never will have. */
    conflict,
    /*! @brief The base version does not exist yet. */
    baseUnknown,
    /*! @brief The version after the base is so old that its row is no longer kept. */
    baseTooOld,
    /*! @brief The platform rejected the token or the request, or the head row cannot be parsed. */
    refused,
};

/*! @brief Final result of a submission, with details for the operator. */
struct SubmissionResult
{
    SubmissionEnd end{};
    /*! @brief Row of the version after the base: this submission, or the one that won. */
    std::optional<Head> row;
    /*! @brief Newest accepted version that was read or written; zero if none. */
    std::uint64_t newest{};

    friend bool operator==(const SubmissionResult &, const SubmissionResult &) = default;
};

/*! @brief Next step of a submission after an outcome. */
enum class SubmissionStep {
    /*! @brief Send request() at once. */
    send,
    /*! @brief Send request() after a backoff. */
    sendLater,
    /*! @brief The submission has ended; see result(). */
    finished,
};

/**
 * @brief State machine that submits a manifest for acceptance; performs no I/O.
 *
 * The manifest is put into the object store under its hash; then one transaction moves the head row from the base to the
 * next version and creates that version's own row, which holds the submission id. The version's row is the marker that
 * shows the result when a response is lost, even long after the head has moved on.
 */
class Submission
{
public:
    /**
     * @brief Creates a submission that has not begun.
     * @param request The manifest and its metadata.
     */
    explicit Submission(SubmissionRequest request);

    /**
     * @brief Returns the next request to the platform.
     * @return The request.
     */
    [[nodiscard]] store::Request request() const;

    /**
     * @brief Handles the outcome of request().
     * @param outcome The outcome.
     * @return The next step.
     */
    [[nodiscard]] SubmissionStep handleOutcome(const store::Outcome &outcome);

    [[nodiscard]] const SubmissionResult &result() const noexcept
    {
        return m_result;
    }

    /**
     * @brief Checks if the submission may still be accepted when it is abandoned now.
     * @return True from a lost response until the result is known.
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
