#ifndef EGRETLATCH_SIDECAR_REPORT_HANDLER_HPP
#define EGRETLATCH_SIDECAR_REPORT_HANDLER_HPP

#include <functional>
#include <optional>
#include <string>

#include <egretlatch/account/metrics_sink.hpp>
#include <egretlatch/core/logger.hpp>
#include <egretlatch/decision/event.hpp>
#include <egretlatch/http/message.hpp>
#include <egretlatch/sidecar/server_tracker.hpp>

namespace egretlatch::sidecar
{

/*! @brief What a report of the backend server leads to. */
struct HandledReport
{
    http::Response answer;
    /*! @brief What is decided upon, before the answer goes out; nothing for a report without effect. */
    std::optional<decision::Event> event;
    /*! @brief Another life of the server has begun, so that connections to the one before lead nowhere. */
    bool isNewIncarnation{};
};

/*! @brief Reads the reports of the backend server on this VM, follows its lives by them, and says so in the log. */
class ReportHandler
{
public:
    /*! @brief Says whether a life has said that it leaves, to whichever life of this daemon. */
    using HasLeft = std::function<bool(const std::string &incarnation)>;

    /**
     * @brief Builds it without a server.
     * @param service Service that the server here belongs to.
     * @param address Where it listens, as `ADDRESS:PORT`.
     * @param logger Where the lines go; must outlive it.
     * @param metrics Counts the reports by their effect; must outlive it.
     * @param hasLeft Asked of a life that says that it serves.
     */
    ReportHandler(std::string service, std::string address, const Logger &logger, account::MetricsSink &metrics, HasLeft hasLeft);

    /**
     * @brief Takes a report.
     * @param request What came in.
     * @return What it leads to; the answer is an error for what is no report.
     */
    [[nodiscard]] HandledReport handle(const http::Request &request);

    [[nodiscard]] const ServerTracker &server() const noexcept
    {
        return m_server;
    }

private:
    [[nodiscard]] ReportEffect effectOf(const platform::ServerReport &report);
    [[nodiscard]] std::optional<decision::Event> eventOf(const platform::ServerReport &report, ReportEffect effect) const;
    void record(const platform::ServerReport &report, ReportEffect effect);

    std::string m_service;
    ServerTracker m_server;
    const Logger &m_logger;
    account::MetricsSink &m_metrics;
    HasLeft m_hasLeft;
    /*! @brief What the last report led to; nothing before the first. */
    std::optional<ReportEffect> m_lastEffect;
};

} // namespace egretlatch::sidecar

#endif
