#ifndef EGRETLATCH_SIDECAR_SERVER_TRACKER_HPP
#define EGRETLATCH_SIDECAR_SERVER_TRACKER_HPP

#include <optional>
#include <string>
#include <string_view>

#include <egretlatch/platform/server_report.hpp>

namespace egretlatch::sidecar
{

/*! @brief Effect of a report of the backend server. */
enum class ReportEffect {
    /*! @brief The report names another service or address; nothing changes. */
    ofAnotherServer,
    /*! @brief The report has no start, though the server reports its start; nothing changes. */
    ofAnotherWriter,
    /*! @brief Deregistration of an incarnation other than the current one, known or not. */
    leavingElsewhere,
    /*! @brief The report is older than the known state; nothing changes. */
    late,
    /*! @brief The server accepts new requests. */
    serving,
    /*! @brief The server accepts no new requests. */
    leaving,
};

/**
 * @brief Returns an effect as text.
 * @param effect The effect.
 * @return Its name in logs and metrics.
 */
[[nodiscard]] std::string_view toString(ReportEffect effect) noexcept;

/**
 * @brief Tracks the incarnations of the backend server on this VM by its reports.
 *
 * Reports arrive late and out of order: one that a partition delayed may come from an ended incarnation with the same address
 * and even the same id. An incarnation is identified by id and start time; its reports are ordered by sequence number.
 */
class ServerTracker
{
public:
    /**
     * @brief Builds a tracker that knows no server yet.
     * @param service Service of the backend server on this VM.
     * @param address Address that it listens on, as `ADDRESS:PORT`.
     */
    ServerTracker(std::string service, std::string address);

    /**
     * @brief Updates the state by a report.
     * @param report The report.
     * @return Its effect.
     */
    [[nodiscard]] ReportEffect update(const platform::ServerReport &report);

    /*! @brief Instance id of the current incarnation; empty if none is known. */
    [[nodiscard]] const std::string &instance() const noexcept
    {
        return m_instance;
    }

    /*! @brief Unique name of the current incarnation. */
    [[nodiscard]] std::string incarnationName() const;

    /**
     * @brief Returns the name of the incarnation that a report comes from.
     * @param report A report that was passed to update().
     * @return The name, in the form of incarnationName().
     */
    [[nodiscard]] std::string incarnationNameOf(const platform::ServerReport &report) const;

    /*! @brief Maximum number of concurrent requests of the server. */
    [[nodiscard]] int slots() const noexcept
    {
        return m_slots;
    }

private:
    /*! @brief Report of an incarnation that another one has superseded. */
    struct SupersededReport
    {
        std::string instance;
        std::int64_t sequence{};
    };

    [[nodiscard]] bool isCurrent(const platform::ServerReport &deregistration) const;
    [[nodiscard]] bool isStale(const platform::ServerReport &report) const;
    [[nodiscard]] bool isStillReporting(const platform::ServerReport &report) const;
    void noteSupersededReport(const platform::ServerReport &report);

    std::string m_service;
    std::string m_address;
    std::string m_instance;
    std::int64_t m_startedAtMs{};
    std::int64_t m_sequence{-1};
    int m_slots{};
    bool m_isLeaving{};
    /*! @brief Instance id of the previous incarnation, whose reports may still arrive. */
    std::string m_previousInstance;
    /*! @brief Last report received, if it came from a superseded incarnation and not from the current one. */
    std::optional<SupersededReport> m_supersededReport;
};

} // namespace egretlatch::sidecar

#endif
