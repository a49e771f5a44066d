// The part of ServingHandler that tracks runs: their inner calls, and the crashes that end them.

#include <egretlatch/decision/serving_handler.hpp>

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace egretlatch::decision
{

namespace internal
{

constexpr int firstServerError = 500;
// All that ran beside a culprit runs well soon after; a report for each would crowd out the reports of crashes.
constexpr std::chrono::milliseconds successReportInterval{500};

} // namespace internal

std::optional<InnerContext> ServingHandler::findRunNamed(const std::string &name) const
{
    const auto found = m_byName.find(name);
    return found == m_byName.end() ? std::nullopt : findRun(tokenOf(found->second));
}

std::optional<InnerContext> ServingHandler::findRun(const std::string &token) const
{
    const std::size_t dash = token.find('-');
    if (dash == std::string::npos) {
        return std::nullopt;
    }
    std::uint64_t number = 0;
    const char *const begin = token.data() + dash + 1;
    const char *const end = token.data() + token.size();
    const auto parsed = std::from_chars(begin, end, number, 16);
    const ExecutionId execution{number};
    if (parsed.ec != std::errc{} || parsed.ptr != end || token != tokenOf(execution)) {
        return std::nullopt;
    }
    const auto found = m_attempts.find(execution);
    if (found == m_attempts.end() || !found->second.started.has_value()) {
        return std::nullopt;
    }
    const Attempt &attempt = found->second;
    admission::Rank rank = attempt.request.rank;
    rank.invested += m_context.clock.steadyNow() - *attempt.started;
    return InnerContext{
        .execution = execution,
        .root = attempt.request.root,
        .rank = rank,
        .rootCosts = attempt.request.rootCosts,
        .deadline = attempt.deadline,
        .trace = attempt.trace,
        .depth = attempt.request.depth,
        .isRepeat = attempt.request.isRepeat,
        .scope = attempt.request.scope,
    };
}

int ServingHandler::lendAttempts(const ExecutionId execution)
{
    const auto found = m_attempts.find(execution);
    if (found == m_attempts.end()) {
        return 0;
    }
    Attempt &attempt = found->second;
    const int lent = (attempt.attemptsLeft + 1) / 2;
    attempt.attemptsLeft -= lent;
    if (attempt.openInnerCalls == 0) {
        attempt.innerWaitSince = m_context.clock.steadyNow();
    }
    ++attempt.openInnerCalls;
    return lent;
}

int ServingHandler::nextOrdinal(const ExecutionId execution, const std::uint64_t call)
{
    const auto found = m_attempts.find(execution);
    return found == m_attempts.end() ? 0 : found->second.ordinals[call]++;
}

void ServingHandler::noteInnerBegan(const ExecutionId execution, const admission::KindName &kind)
{
    const auto found = m_attempts.find(execution);
    if (found != m_attempts.end()) {
        ++found->second.innerCalls[kind];
    }
}

void ServingHandler::noteInnerEnded(const ExecutionId execution, const InnerCallResult &end, const SteadyTime now)
{
    const auto found = m_attempts.find(execution);
    if (found == m_attempts.end()) {
        return;
    }
    Attempt &attempt = found->second;
    attempt.attemptsLeft += end.attempts;
    attempt.innerSlotTime += end.slotTime;
    attempt.hasFailedBelow = attempt.hasFailedBelow || end.hasFailed;
    --attempt.openInnerCalls;
    if (attempt.openInnerCalls == 0) {
        attempt.innerWait += now - attempt.innerWaitSince;
    }
}

std::string ServingHandler::tokenOf(const ExecutionId execution) const
{
    return fmt::format("{:016x}-{:x}", m_context.incarnation.value, execution.value);
}

void ServingHandler::detectCrash(Attempt &attempt, const RunEnded &ended, const SteadyTime now)
{
    if (const auto *const answer = std::get_if<RunAnswer>(&ended.result)) {
        m_crashDetector.noteAnswer(*attempt.started, now);
        m_hasUnansweredTrial = false;
        m_crash.reset();
        // A server may fail a request before it runs it, which does not show that it survives it.
        if (answer->status < internal::firstServerError) {
            clearIfSuspect(attempt, now);
        }
        return;
    }
    switch (std::get<RunFailure>(ended.result)) {
    case RunFailure::lost:
        noteLost(attempt, now);
        return;
    case RunFailure::notConnected:
        noteServerUnreachable(now);
        return;
    case RunFailure::rejected:
        return;
    }
}

void ServingHandler::noteLost(const Attempt &attempt, const SteadyTime now)
{
    if (attempt.isInCrashReport) {
        return;
    }
    if (attempt.isTrial) {
        m_crashDetector.noteLostTrial(identityOf(attempt), now);
    } else {
        m_crashDetector.noteLostRun(identityOf(attempt), now);
    }
}

void ServingHandler::noteServerReplaced(const SteadyTime now)
{
    m_crashDetector.noteInstance(now);
    m_hasUnansweredTrial = false;
    m_performanceMeter.clear();
    m_serverSince = now;
    m_namedLimit.reset();
    m_gate->setRateLimit(std::nullopt, now);
}

bool ServingHandler::isAtPresentServer(const ExecutionId execution) const
{
    const auto found = m_attempts.find(execution);
    return found != m_attempts.end() && found->second.started.has_value() && *found->second.started >= m_serverSince;
}

void ServingHandler::noteNotice(const Attempt &attempt, const ServerNotice &notice, const SteadyTime now)
{
    if (notice.hasUnreadableLimit) {
        m_context.metrics.count("server_notices", "unreadable-limit");
    }
    // An answer of an earlier instance says nothing about the present one.
    const bool isOfPresent = *attempt.started >= m_serverSince;
    const bool hadLimit = m_namedLimit.perSecond().has_value();
    if (!isOfPresent || !m_namedLimit.noteAnswer(notice, *attempt.started, now)) {
        return;
    }
    const std::optional<double> limit = m_namedLimit.perSecond();
    m_gate->setRateLimit(limit, now);
    m_context.metrics.count("server_notices", limit.has_value() ? "limit" : "limit-ended");
    if (hadLimit != limit.has_value()) {
        m_context.actions.emplace_back(ServerLimitChanged{.perSecond = limit});
    }
}

void ServingHandler::noteUnanswered(const Attempt &attempt, const SteadyTime now)
{
    if (attempt.isInCrashReport) {
        return;
    }
    const admission::RequestIdentity request = identityOf(attempt);
    // The end of a silent server is known seconds later, and each trial until then could end another one.
    if (attempt.isTrial) {
        m_context.actions.emplace_back(LogRequest{
            .event = "request on trial not answered",
            .requestName = attempt.request.requestName,
            .service = attempt.request.service,
            .kind = attempt.request.kind,
            .server = m_context.self,
            .reason = quarantineRule,
            .elapsed = now - attempt.arrived,
        });
        m_hasUnansweredTrial = true;
        CrashInProgress crash{.number = ++m_lastCrashReport};
        reportRunning(crash, {.broken = {request}, .unanswered = {}});
        return;
    }
    m_crashDetector.noteAbandonedRun(request, now);
}

void ServingHandler::clearIfSuspect(const Attempt &attempt, const SteadyTime now)
{
    // Identities are computed only while there are suspects, which is rare.
    if (m_context.suspects.isEmpty()) {
        return;
    }
    const admission::RequestIdentity request = identityOf(attempt);
    if (m_context.suspects.noteSuccess(request, now)) {
        m_ranWell.push_back(request);
    }
}

std::optional<CrashReport> ServingHandler::takeSuccessReport(const SteadyTime now)
{
    const bool isFull = m_ranWell.size() >= admission::maxIdentitiesPerMessage;
    const bool isDue = isFull || now - m_lastSuccessReport >= internal::successReportInterval;
    if (m_ranWell.empty() || !isDue) {
        return std::nullopt;
    }
    m_lastSuccessReport = now;
    const std::size_t count = std::min(m_ranWell.size(), admission::maxIdentitiesPerMessage);
    const auto end = m_ranWell.begin() + static_cast<std::ptrdiff_t>(count);
    const std::vector<admission::RequestIdentity> requests{m_ranWell.begin(), end};
    m_ranWell.erase(m_ranWell.begin(), end);
    return CrashReport::forSuccess(m_context.self, m_context.incarnation, ++m_lastCrashReport, requests);
}

void ServingHandler::noteServerUnreachable(const SteadyTime now)
{
    recordCrash(m_crashDetector.noteConnectFailure(now));
}

void ServingHandler::noteServerEnded(const bool hasLeft)
{
    if (hasLeft) {
        m_crashDetector.noteDeparture();
        m_crash.reset();
        return;
    }
    CrashedRuns running = m_crashDetector.noteEnd();
    const std::vector<admission::RequestIdentity> underWay = takeRunsUnderWay();
    running.unanswered.insert(running.unanswered.end(), underWay.begin(), underWay.end());
    recordCrash(running);
    m_crash.reset();
}

std::vector<admission::RequestIdentity> ServingHandler::takeRunsUnderWay()
{
    // A server that falls silent breaks no connection, so its runs end at their deadlines, after its replacement.
    std::vector<admission::RequestIdentity> running;
    for (auto &[execution, attempt] : m_attempts) {
        if (attempt.started.has_value() && !attempt.isInCrashReport) {
            attempt.isInCrashReport = true;
            running.push_back(identityOf(attempt));
        }
    }
    return running;
}

void ServingHandler::recordCrash(const CrashedRuns &running)
{
    if (running.isEmpty()) {
        return;
    }
    // The runs of one crash end one after another. Reported as crashes of their own, they would count several times, and hide
    // which requests were running beside which.
    if (!m_crash.has_value()) {
        m_crash = CrashInProgress{.number = ++m_lastCrashReport};
        const std::string &service = m_context.roster.self().service;
        m_context.metrics.count("server_crashes", service);
        m_context.actions.emplace_back(ServerCrashed{.service = service, .running = running.size()});
    }
    reportRunning(*m_crash, running);
}

void ServingHandler::reportRunning(CrashInProgress &crash, const CrashedRuns &running)
{
    for (CrashReport &report : CrashReport::forCrash(m_context.self, m_context.incarnation, crash.number, crash.reports, running)) {
        m_crashReports.push_back(std::move(report));
        ++crash.reports;
    }
}

void ServingHandler::refuseQuarantined(const SteadyTime now)
{
    std::vector<ExecutionId> waiting;
    for (const auto &[execution, attempt] : m_attempts) {
        const bool isWaiting = !attempt.started.has_value();
        if (isWaiting && m_context.suspects.suspicionOf(identityOf(attempt), now) == admission::Suspicion::quarantined) {
            waiting.push_back(execution);
        }
    }
    for (const ExecutionId execution : waiting) {
        // Removing one may cause the gate to start or refuse another one of the list.
        const auto found = m_attempts.find(execution);
        if (found != m_attempts.end() && !found->second.started.has_value()) {
            abandon(execution, account::RefusalReason::quarantined, now);
        }
    }
}

admission::Suspicion ServingHandler::suspicionOf(const DaemonId &from, const protocol::CallRequest &request, const SteadyTime now) const
{
    return m_context.suspects.isEmpty() ? admission::Suspicion::none : m_context.suspects.suspicionOf(m_context.identityOf(from, request), now);
}

std::optional<std::chrono::milliseconds>
ServingHandler::checkQuarantine(const DaemonId &from, const protocol::CallRequest &request, const admission::Suspicion suspicion) const
{
    // The entry daemon may not know yet: it may have started, or been cut off, when the crashes were reported.
    if (suspicion == admission::Suspicion::quarantined) {
        return retryAfterQuarantine;
    }
    if (suspicion != admission::Suspicion::onTrial) {
        return std::nullopt;
    }
    const admission::RequestFingerprint content = m_context.identityOf(from, request).content;
    const bool isUnderWay = std::any_of(m_attempts.begin(), m_attempts.end(), [this, content](const auto &item) {
        return identityOf(item.second).content == content;
    });
    // A server that is silent would leave each further trial unanswered, whatever the request does to it.
    return isUnderWay || m_hasUnansweredTrial ? std::optional<std::chrono::milliseconds>{retryAfterTrial} : std::nullopt;
}

admission::RequestIdentity ServingHandler::identityOf(const Attempt &attempt) const
{
    return attempt.identity.has_value() ? *attempt.identity : m_context.identityOf(std::get<DaemonId>(attempt.origin), attempt.request);
}

} // namespace egretlatch::decision
