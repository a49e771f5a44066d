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

/*! @brief Result of handling a report of the backend server. */
struct HandledReport
{
    http::Response answer;
    /*! @brief Event for the decision core, to be posted before the answer is sent; empty for a report without effect. */
    std::optional<decision::Event> event;
    /*! @brief True if the report starts a new incarnation of the server, so that connections to the previous one are dead. */
    bool isNewIncarnation{};
};

/*! @brief Reads the reports of the backend server on this VM, tracks its incarnations, and logs changes. */
class ReportHandler
{
public:
    /*! @brief Checks if an incarnation has announced that it leaves, to this or an earlier incarnation of this daemon. */
    using HasLeft = std::function<bool(const std::string &incarnation)>;

    /**
     * @brief Builds a handler that knows no server yet.
     * @param service Service of the backend server on this VM.
     * @param address Address that it listens on, as `ADDRESS:PORT`.
     * @param logger Receives the lines; must outlive it.
     * @param metrics Counts the reports by their effect; must outlive it.
     * @param hasLeft Consulted for an incarnation that reports that it is serving.
     */
    ReportHandler(std::string service, std::string address, const Logger &logger, account::MetricsSink &metrics, HasLeft hasLeft);

    /**
     * @brief Handles a report.
     * @param request The HTTP request.
     * @return The answer and its effects; the answer is an error if the request is not a valid report.
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
    /*! @brief Effect of the last logged report; empty before the first. */
    std::optional<ReportEffect> m_lastEffect;
};

} // namespace egretlatch::sidecar

#endif
