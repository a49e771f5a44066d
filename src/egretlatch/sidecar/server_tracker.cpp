#include <egretlatch/sidecar/server_tracker.hpp>

#include <egretlatch/membership/incarnation_name.hpp>

namespace egretlatch::sidecar
{

std::string_view toString(const ReportEffect effect) noexcept
{
    switch (effect) {
    case ReportEffect::ofAnotherServer:
        return "of-another-server";
    case ReportEffect::ofAnotherWriter:
        return "of-another-writer";
    case ReportEffect::leavingElsewhere:
        return "leaving-elsewhere";
    case ReportEffect::late:
        return "late";
    case ReportEffect::serving:
        return "serving";
    case ReportEffect::leaving:
        return "leaving";
    }
    return "unknown";
}

ServerTracker::ServerTracker(std::string service, std::string address)
    : m_service{std::move(service)}
    , m_address{std::move(address)}
{
}

ReportEffect ServerTracker::update(const platform::ServerReport &report)
{
    // A server that has reported its start once always does.
    if (report.startedAtMs == 0 && m_startedAtMs != 0) {
        return ReportEffect::ofAnotherWriter;
    }
    const bool isDeregistration = report.state == platform::ServerReportState::left;
    if (isDeregistration) {
        m_isLeaving = m_isLeaving || isCurrent(report);
        return isCurrent(report) ? ReportEffect::leaving : ReportEffect::leavingElsewhere;
    }
    if (report.service != m_service || report.address != m_address) {
        return ReportEffect::ofAnotherServer;
    }
    if (isStale(report)) {
        noteSupersededReport(report);
        return ReportEffect::late;
    }
    m_supersededReport.reset();
    const bool isNewIncarnation = report.instance != m_instance || report.startedAtMs != m_startedAtMs;
    if (isNewIncarnation) {
        m_previousInstance = m_instance;
        m_instance = report.instance;
        m_startedAtMs = report.startedAtMs;
        m_isLeaving = false;
    }
    m_sequence = report.sequence;
    m_slots = report.slots;
    // A server that has announced that it leaves does not return within the same incarnation.
    m_isLeaving = m_isLeaving || report.state == platform::ServerReportState::draining;
    return m_isLeaving ? ReportEffect::leaving : ReportEffect::serving;
}

std::string ServerTracker::incarnationName() const
{
    return membership::incarnationName(m_instance, m_startedAtMs);
}

std::string ServerTracker::incarnationNameOf(const platform::ServerReport &report) const
{
    const bool isDeregistration = report.state == platform::ServerReportState::left;
    return isDeregistration && isCurrent(report) ? incarnationName() : membership::incarnationName(report.instance, report.startedAtMs);
}

bool ServerTracker::isCurrent(const platform::ServerReport &deregistration) const
{
    return deregistration.instance == m_instance && (deregistration.startedAtMs == 0 || deregistration.startedAtMs == m_startedAtMs);
}

bool ServerTracker::isStale(const platform::ServerReport &report) const
{
    if (report.instance == m_instance && report.startedAtMs == m_startedAtMs) {
        return report.sequence <= m_sequence;
    }
    // Of two incarnations at one address, the one that started later is current.
    if (report.startedAtMs != 0 && m_startedAtMs != 0) {
        return report.startedAtMs < m_startedAtMs;
    }
    return !report.instance.empty() && report.instance == m_previousInstance && !isStillReporting(report);
}

// Without start times, the first reports of two incarnations may arrive in the wrong order. The one that keeps reporting is the
// one that is alive.
bool ServerTracker::isStillReporting(const platform::ServerReport &report) const
{
    return m_supersededReport.has_value() && m_supersededReport->instance == report.instance && report.sequence > m_supersededReport->sequence;
}

void ServerTracker::noteSupersededReport(const platform::ServerReport &report)
{
    if (report.instance != m_instance) {
        m_supersededReport = SupersededReport{.instance = report.instance, .sequence = report.sequence};
    }
}

} // namespace egretlatch::sidecar
