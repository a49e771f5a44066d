#include <egretlatch/sidecar/report_handler.hpp>

namespace egretlatch::sidecar
{

namespace internal
{

constexpr int badRequest = 400;
constexpr int notFound = 404;

} // namespace internal

ReportHandler::ReportHandler(std::string service, std::string address, const Logger &logger, account::MetricsSink &metrics, HasLeft hasLeft)
    : m_service{std::move(service)}
    , m_server{m_service, std::move(address)}
    , m_logger{logger}
    , m_metrics{metrics}
    , m_hasLeft{std::move(hasLeft)}
{
}

HandledReport ReportHandler::handle(const http::Request &request)
{
    const Result<platform::ServerReport> report = platform::readServerReport(request);
    if (!report.has_value()) {
        const bool isUnknown = report.error().code == ErrorCode::notFound;
        m_logger.warning("server report rejected", {{"reason", report.error().message}});
        return {.answer = http::bareResponse(isUnknown ? internal::notFound : internal::badRequest), .event = std::nullopt};
    }
    const std::string previousIncarnation = m_server.incarnationName();
    const ReportEffect effect = effectOf(*report);
    record(*report, effect);
    if (effect == ReportEffect::ofAnotherWriter) {
        return {.answer = http::bareResponse(internal::badRequest), .event = std::nullopt};
    }
    const bool isNewIncarnation = m_server.incarnationName() != previousIncarnation;
    if (isNewIncarnation) {
        m_logger.info("new backend server incarnation", {{"instance", m_server.instance()}, {"born", report->startedAtMs}, {"slots", m_server.slots()}});
    }
    return {.answer = platform::acknowledgement(), .event = eventOf(*report, effect), .isNewIncarnation = isNewIncarnation};
}

ReportEffect ReportHandler::effectOf(const platform::ServerReport &report)
{
    const ReportEffect effect = m_server.update(report);
    return effect == ReportEffect::serving && m_hasLeft(m_server.incarnationName()) ? ReportEffect::leaving : effect;
}

std::optional<decision::Event> ReportHandler::eventOf(const platform::ServerReport &report, const ReportEffect effect) const
{
    switch (effect) {
    case ReportEffect::serving:
        return decision::ServerAnnounced{
            .service = m_service, .slots = m_server.slots(), .connections = m_server.slots(), .instance = m_server.incarnationName()};
    case ReportEffect::leaving:
    case ReportEffect::leavingElsewhere:
        return decision::ServerDraining{.instance = m_server.incarnationNameOf(report)};
    case ReportEffect::ofAnotherServer:
    case ReportEffect::ofAnotherWriter:
    case ReportEffect::late:
        break;
    }
    return std::nullopt;
}

void ReportHandler::record(const platform::ServerReport &report, const ReportEffect effect)
{
    m_metrics.count("server_reports", toString(effect));
    const bool isAsBefore = (effect == ReportEffect::serving || effect == ReportEffect::leaving) && m_lastEffect == effect;
    if (isAsBefore) {
        return;
    }
    m_lastEffect = effect;
    m_logger.info("server report",
                  {{"instance", report.instance},
                   {"born", report.startedAtMs},
                   {"sequence", report.sequence},
                   {"state", platform::toString(report.state)},
                   {"effect", toString(effect)},
                   {"currentIncarnation", m_server.incarnationName()}});
}

} // namespace egretlatch::sidecar
