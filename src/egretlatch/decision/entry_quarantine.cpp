// The part of EntryHandler that deals with requests suspected of crashing backend servers.

#include <egretlatch/decision/entry_handler.hpp>

#include <utility>

namespace egretlatch::decision
{

namespace internal
{

constexpr int firstServerError = 500;

} // namespace internal

admission::Suspicion EntryHandler::suspicionOf(const Pending &pending, const SteadyTime now) const
{
    return m_context.suspects.isEmpty() ? admission::Suspicion::none : m_context.suspects.suspicionOf(identityOf(pending), now);
}

admission::RequestIdentity EntryHandler::identityOf(const Pending &pending) const
{
    const CallerCall &call = pending.call;
    return admission::identityOf({
        .kind = call.kind,
        .method = call.method,
        .path = call.path,
        .body = {call.body.constData(), static_cast<std::size_t>(call.body.size())},
        .service = m_context.roster.self().service,
        .account = call.account,
    });
}

bool EntryHandler::beginTrial(Pending &pending)
{
    pending.isTrial = m_trials.insert(identityOf(pending).content).second;
    return pending.isTrial;
}

void EntryHandler::endTrial(const Pending &pending, const CallerAnswer &answer, const SteadyTime now)
{
    const admission::RequestIdentity request = identityOf(pending);
    m_trials.erase(request.content);
    // The serving daemon reports a good run only if it suspects the request itself.
    const bool hasRunWell = answer.verdict == Verdict::completed && !answer.refusal.has_value() && answer.status < internal::firstServerError;
    if (hasRunWell) {
        static_cast<void>(m_context.suspects.noteSuccess(request, now));
    }
}

void EntryHandler::finishQuarantined(Pending pending, const std::chrono::milliseconds retryAfter, const SteadyTime now)
{
    const admission::CrashEvidence evidence = m_context.suspects.evidenceAgainst(identityOf(pending), now);
    const auto sinceLast = std::chrono::duration_cast<std::chrono::milliseconds>(evidence.sinceLast);
    std::vector<account::Figure> figures{
        {"crashes", static_cast<double>(evidence.crashes)},
        {"broken", static_cast<double>(evidence.broken)},
        {"callers", static_cast<double>(evidence.callers)},
        {"sinceLastMs", static_cast<double>(sinceLast.count())},
    };
    finishRefused(std::move(pending), m_context.refuse(account::RefusalReason::quarantined, quarantineRule, std::move(figures), retryAfter), now);
}

std::optional<DaemonId> EntryHandler::findTrialServer(const Pending &pending) const
{
    // Every entry daemon names the same server, so trials of several daemons end one server at most; and another one after a trial
    // that failed, since that server may have been silent by itself.
    const admission::RequestFingerprint content = identityOf(pending).content;
    const SteadyTime now = m_context.clock.steadyNow();
    std::optional<std::pair<int, DaemonId>> best;
    for (const membership::Member &member : m_context.roster.members()) {
        const bool isServing = member.state == membership::MemberState::serving && member.service == pending.call.service;
        if (!isServing || pending.tried.contains(member.id)) {
            continue;
        }
        const std::pair candidate{m_context.suspects.crashesAt(content, member.id, now), member.id};
        if (!best.has_value() || candidate < *best) {
            best = candidate;
        }
    }
    return best.has_value() ? std::optional{best->second} : std::nullopt;
}

bool EntryHandler::mayEndAnotherServer(const Pending &pending, const protocol::CallAnswer &answer, const SteadyTime now) const
{
    return answer.hasReachedServer && (pending.lostRuns >= maxLostRuns || suspicionOf(pending, now) != admission::Suspicion::none);
}

void EntryHandler::resend(Pending pending, const SteadyTime now)
{
    // The third crash may have been reported while the call waited.
    if (suspicionOf(pending, now) == admission::Suspicion::quarantined) {
        finishQuarantined(std::move(pending), retryAfterQuarantine, now);
        return;
    }
    makeAttempt(std::move(pending), now);
}

} // namespace egretlatch::decision
