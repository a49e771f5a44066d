// The part of Core that shares reports on requests that crash backend servers.

#include <egretlatch/decision/core.hpp>

namespace egretlatch::decision
{

namespace internal
{

constexpr std::chrono::seconds suspectsExpiryInterval{1};

} // namespace internal

void Core::spreadCrashReports(const SteadyTime now)
{
    for (const CrashReport &report : m_serving->takeCrashReports()) {
        applyCrashReport(report, now);
        spreadCrashReport(report, now);
    }
}

void Core::spreadCrashReport(const CrashReport &report, const SteadyTime now)
{
    if (!m_gossip->spread(report.rumour, now)) {
        m_context->metrics.count("messages_dropped", "crash-report");
        m_context->actions.emplace_back(CrashReportDropped{.report = report.rumour.key.key});
    }
}

void Core::applyCrashReport(const CrashReport &report, const SteadyTime now)
{
    admission::CrashSuspects &suspects = m_context->suspects;
    std::vector<admission::RequestIdentity> open;
    for (const admission::RequestIdentity &request : report.requests()) {
        if (suspects.suspicionOf(request, now) != admission::Suspicion::quarantined) {
            open.push_back(request);
        }
    }
    const std::uint64_t evicted = suspects.evicted();
    report.apply(suspects, now);
    if (suspects.evicted() != evicted) {
        m_context->metrics.count("messages_dropped", "crash-suspect");
        m_context->actions.emplace_back(SuspectsForgotten{.total = suspects.evicted()});
    }
    bool isAnyNew = false;
    for (const admission::RequestIdentity &request : open) {
        if (suspects.suspicionOf(request, now) == admission::Suspicion::quarantined) {
            isAnyNew = true;
            m_context->metrics.count("quarantined_requests", {});
            m_context->actions.emplace_back(RequestQuarantined{.request = request, .evidence = suspects.evidenceAgainst(request, now)});
        }
    }
    if (isAnyNew) {
        m_serving->refuseQuarantined(now);
    }
}

void Core::tickSuspects(const SteadyTime now)
{
    spreadCrashReports(now);
    if (const std::optional<CrashReport> report = m_serving->takeSuccessReport(now)) {
        spreadCrashReport(*report, now);
    }
    if (now - m_lastSuspectsExpiry >= internal::suspectsExpiryInterval) {
        m_lastSuspectsExpiry = now;
        m_context->suspects.expire(now);
    }
}

} // namespace egretlatch::decision
