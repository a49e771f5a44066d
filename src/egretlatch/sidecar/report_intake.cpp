#include <egretlatch/sidecar/report_intake.hpp>

namespace egretlatch::sidecar
{

namespace internal
{

constexpr int badRequest = 400;
constexpr int notFound = 404;

} // namespace internal

ReportIntake::ReportIntake(std::string service, std::string address, const Logger &logger, account::MetricsSink &metrics, HasLeft hasLeft)
    : m_service{std::move(service)}
    , m_server{m_service, std::move(address)}
    , m_logger{logger}
    , m_metrics{metrics}
    , m_hasLeft{std::move(hasLeft)}
{
}

TakenReport ReportIntake::take(const http::Request &request)
{
    const Result<platform::ServerReport> report = platform::readServerReport(request);
    if (!report.has_value()) {
        const bool isUnknown = report.error().code == ErrorCode::notFound;
        m_logger.warning("report not taken", {{"reason", report.error().message}});
        return {.answer = http::bareResponse(isUnknown ? internal::notFound : internal::badRequest), .event = std::nullopt};
    }
    const std::string lifeBefore = m_server.lifeName();
    const ReportEffect effect = effectOf(*report);
    note(*report, effect);
    const bool hasNewLife = m_server.lifeName() != lifeBefore;
    if (hasNewLife) {
        m_logger.info("backend server's life began", {{"instance", m_server.instance()}, {"born", report->bornMs}, {"slots", m_server.slots()}});
    }
    return {.answer = platform::acknowledgement(), .event = eventOf(*report, effect), .hasNewLife = hasNewLife};
}

ReportEffect ReportIntake::effectOf(const platform::ServerReport &report)
{
    const ReportEffect effect = m_server.take(report);
    return effect == ReportEffect::serving && m_hasLeft(m_server.lifeName()) ? ReportEffect::leaving : effect;
}

std::optional<decision::Event> ReportIntake::eventOf(const platform::ServerReport &report, const ReportEffect effect) const
{
    switch (effect) {
    case ReportEffect::serving:
        return decision::ServerAnnounced{.service = m_service, .slots = m_server.slots(), .connections = m_server.slots(), .instance = m_server.lifeName()};
    case ReportEffect::leaving:
    case ReportEffect::leavingElsewhere:
        return decision::ServerDraining{.instance = m_server.lifeOf(report)};
    case ReportEffect::ofAnotherServer:
    case ReportEffect::late:
        break;
    }
    return std::nullopt;
}

void ReportIntake::note(const platform::ServerReport &report, const ReportEffect effect)
{
    m_metrics.count("server_reports", toString(effect));
    const bool isAsBefore = (effect == ReportEffect::serving || effect == ReportEffect::leaving) && m_lastEffect == effect;
    if (isAsBefore) {
        return;
    }
    m_lastEffect = effect;
    m_logger.info("server report",
                  {{"instance", report.instance},
                   {"born", report.bornMs},
                   {"sequence", report.sequence},
                   {"state", platform::toString(report.state)},
                   {"effect", toString(effect)},
                   {"presentLife", m_server.lifeName()}});
}

} // namespace egretlatch::sidecar
