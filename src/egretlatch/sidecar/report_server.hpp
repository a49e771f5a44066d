#ifndef EGRETLATCH_SIDECAR_REPORT_SERVER_HPP
#define EGRETLATCH_SIDECAR_REPORT_SERVER_HPP

#include <functional>
#include <string>
#include <vector>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/logger.hpp>
#include <egretlatch/decision/event.hpp>
#include <egretlatch/http/server.hpp>
#include <egretlatch/sidecar/report_handler.hpp>

namespace egretlatch::sidecar
{

/*! @brief Connects the reports of the backend server with the rest of the daemon. */
class ReportListener
{
public:
    virtual ~ReportListener() = default;

    /*! @brief Called for a report with an effect, before it is acknowledged. */
    virtual void onServerEvent(decision::Event event) = 0;

    /*! @brief Called for the first report of a new incarnation; connections to the previous one are dead. */
    virtual void onNewServer() = 0;

    /**
     * @brief Checks whether the departure of an incarnation will bind later incarnations of this daemon, so that it may be acknowledged.
     * @param incarnation Name of the incarnation.
     */
    [[nodiscard]] virtual bool isDepartureSaved(const std::string &incarnation) const = 0;
};

/**
 * @brief Receives and acknowledges the reports of the backend server on this VM.
 *
 * The report of a departure is acknowledged once the departure is saved. If that takes too long the report is rejected, and the
 * server sends another.
 */
class ReportServer
{
public:
    /**
     * @brief Builds a server that does not listen yet.
     * @param poller Watches its sockets; must outlive it.
     * @param clock Source of time; must outlive it.
     * @param handler Interprets the reports.
     * @param listener Receives their effects; must outlive it.
     * @param logger Receives a line for each departure that is not acknowledged; must outlive it.
     */
    ReportServer(net::Poller &poller, const Clock &clock, ReportHandler handler, ReportListener &listener, const Logger &logger);

    [[nodiscard]] Result<void> listen(const net::Endpoint &endpoint)
    {
        return m_server.listen(endpoint);
    }

    /**
     * @brief Acknowledges the reports of a departure.
     * @param incarnation Name of the incarnation, whose departure is saved now.
     */
    void handleSaved(const std::string &incarnation);

    /*! @brief Enforces timeouts; call it a few times per second. */
    void tick();

    /*! @brief Backend server as known by its reports. */
    [[nodiscard]] const ServerTracker &backend() const noexcept
    {
        return m_handler.server();
    }

private:
    /*! @brief Report of a departure that is not saved yet. */
    struct Waiting
    {
        ExchangeId exchange;
        std::string incarnation;
        http::Response acknowledgement;
        SteadyTime since;
    };

    void handle(ExchangeId exchange, const http::Request &request);

    const Clock &m_clock;
    ReportHandler m_handler;
    ReportListener &m_listener;
    const Logger &m_logger;
    std::vector<Waiting> m_waiting;
    http::Server m_server;
};

} // namespace egretlatch::sidecar

#endif
