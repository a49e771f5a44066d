#ifndef EGRETLATCH_SIDECAR_SERVER_TRACKER_HPP
#define EGRETLATCH_SIDECAR_SERVER_TRACKER_HPP

#include <optional>
#include <string>
#include <string_view>

#include <egretlatch/platform/server_report.hpp>

namespace egretlatch::sidecar
{

/*! @brief What a report of the backend server leads to. */
enum class ReportEffect {
    /*! @brief It names another service or address; nothing changes. */
    ofAnotherServer,
    /*! @brief It is the farewell of a life that is not the present one, heard of or not. */
    leavingElsewhere,
    /*! @brief It is older than what is known; nothing changes. */
    late,
    /*! @brief The server takes work. */
    serving,
    /*! @brief The server takes no more work. */
    leaving,
};

/**
 * @brief Gives an effect as text.
 * @param effect The effect.
 * @return Its name in logs and metrics.
 */
[[nodiscard]] std::string_view toString(ReportEffect effect) noexcept;

/**
 * @brief Follows the lives of the backend server on this VM by its reports.
 *
 * Reports come late and out of order: one that a partition held up may speak of a life that has ended, under the same
 * address and even the same id. A life is told by its id and time of start, and reports within it by their number.
 */
class ServerTracker
{
public:
    /**
     * @brief Builds it without a server.
     * @param service Service that the server here belongs to.
     * @param address Where it listens, as `ADDRESS:PORT`.
     */
    ServerTracker(std::string service, std::string address);

    /**
     * @brief Takes a report.
     * @param report The report.
     * @return What it leads to.
     */
    [[nodiscard]] ReportEffect update(const platform::ServerReport &report);

    /*! @brief Id that the server of the present life goes by; empty if none is known. */
    [[nodiscard]] const std::string &instance() const noexcept
    {
        return m_instance;
    }

    /*! @brief Tells the present life from all others. */
    [[nodiscard]] std::string incarnationName() const;

    /**
     * @brief Names the life that a report speaks of.
     * @param report A report that was taken.
     * @return The name, as of `incarnationName`.
     */
    [[nodiscard]] std::string incarnationNameOf(const platform::ServerReport &report) const;

    /*! @brief Requests that the server runs at a time. */
    [[nodiscard]] int slots() const noexcept
    {
        return m_slots;
    }

private:
    /*! @brief A life that reports again after another has taken its place. */
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
    /*! @brief Id of the life before the present one, whose reports may still come. */
    std::string m_previousInstance;
    /*! @brief Who reported last, if it was the earlier life and not the present one. */
    std::optional<SupersededReport> m_supersededReport;
};

} // namespace egretlatch::sidecar

#endif
