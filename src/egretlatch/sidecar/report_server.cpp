#include <egretlatch/sidecar/report_server.hpp>

#include <utility>

namespace egretlatch::sidecar
{

namespace internal
{

// A server takes no acknowledgement that arrives later than a second after its report.
constexpr std::chrono::milliseconds acknowledgementLimit{800};
constexpr int serviceUnavailable = 503;

} // namespace internal

ReportServer::ReportServer(net::Poller &poller, const Clock &clock, ReportHandler handler, ReportListener &listener, const Logger &logger)
    : m_clock{clock}
    , m_handler{std::move(handler)}
    , m_listener{listener}
    , m_logger{logger}
    , m_server{poller,
               clock,
               [this](const ExchangeId exchange, const http::Request &request, SteadyTime /*readAt*/) {
                   handle(exchange, request);
               },
               [](ExchangeId /*exchange*/) {}}
{
}

void ReportServer::handle(const ExchangeId exchange, const http::Request &request)
{
    HandledReport handled = m_handler.handle(request);
    if (handled.isNewIncarnation) {
        m_listener.onNewServer();
    }
    const auto *const draining = handled.event.has_value() ? std::get_if<decision::ServerDraining>(&*handled.event) : nullptr;
    const std::string leaving = draining == nullptr ? std::string{} : draining->instance;
    if (handled.event.has_value()) {
        m_listener.onServerEvent(std::move(*handled.event));
    }
    if (leaving.empty() || m_listener.isDepartureSaved(leaving)) {
        m_server.answer(exchange, std::move(handled.answer));
        return;
    }
    m_waiting.push_back({.exchange = exchange, .incarnation = leaving, .acknowledgement = std::move(handled.answer), .since = m_clock.steadyNow()});
}

void ReportServer::handleSaved(const std::string &incarnation)
{
    const auto isSaved = [&incarnation](const Waiting &waiting) {
        return waiting.incarnation == incarnation;
    };
    for (Waiting &waiting : m_waiting) {
        if (isSaved(waiting)) {
            m_server.answer(waiting.exchange, std::move(waiting.acknowledgement));
        }
    }
    std::erase_if(m_waiting, isSaved);
}

void ReportServer::tick()
{
    const SteadyTime now = m_clock.steadyNow();
    const auto isExpired = [now](const Waiting &waiting) {
        return now - waiting.since >= internal::acknowledgementLimit;
    };
    for (const Waiting &waiting : m_waiting) {
        if (isExpired(waiting)) {
            m_logger.warning("departure not acknowledged", {{"instance", waiting.incarnation}, {"reason", "the store has not saved it"}});
            m_server.answer(waiting.exchange, http::bareResponse(internal::serviceUnavailable));
        }
    }
    std::erase_if(m_waiting, isExpired);
    m_server.tick();
}

} // namespace egretlatch::sidecar
