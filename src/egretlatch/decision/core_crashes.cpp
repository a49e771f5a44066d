// The part of Core that shares reports on requests that crash backend servers.

#include <egretlatch/decision/core.hpp>

#include <utility>

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
    const std::vector<admission::RequestIdentity> requests = report.requests();
    std::vector<admission::RequestIdentity> open;
    for (const admission::RequestIdentity &request : requests) {
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
    saveSuspects(requests, now);
}

void Core::saveSuspects(const std::vector<admission::RequestIdentity> &requests, const SteadyTime now)
{
    for (const admission::RequestIdentity &request : requests) {
        if (m_suspectRecord != nullptr && m_context->suspects.crashesAt(request.content, m_context->self, now) > 0) {
            m_suspectRecord->noteCrash(request.content);
        }
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
    tickSuspectRecord(now);
}

void Core::tickSuspectRecord(const SteadyTime now)
{
    // A store that is away refuses one read of a daemon that starts at a time.
    const bool isStoreRead = m_departureRecord == nullptr || m_departureRecord->isRead();
    if (m_suspectRecord == nullptr || m_suspectRequest.has_value() || !isStoreRead) {
        return;
    }
    if (std::optional<store::Request> request = m_suspectRecord->tick(m_context->suspects, now, m_context->clock.wallNow())) {
        m_suspectRequest = m_context->sendToPlatform(std::move(*request));
    }
}

void Core::handleSuspectReply(const store::Outcome &outcome, const SteadyTime now)
{
    for (const RecordedSuspect &suspect : m_suspectRecord->handleOutcome(outcome, now, m_context->clock.wallNow())) {
        // Requests that have run well since shall not be refused for minutes. One broken run is too few for that, and a trial that
        // fails is the second.
        bool hasBroken = false;
        for (const admission::KnownCrash &known : suspect.crashes) {
            const std::vector<admission::RequestIdentity> request{{.content = suspect.content, .caller = known.caller}};
            if (known.isBroken && !std::exchange(hasBroken, true)) {
                m_context->suspects.noteCrash(known.crash, request, now);
            } else {
                m_context->suspects.noteUnanswered(known.crash, request, now);
            }
        }
        m_context->actions.emplace_back(SuspectRead{.content = suspect.content, .crashes = suspect.crashes.size()});
    }
    tickSuspectRecord(now);
}

} // namespace egretlatch::decision
