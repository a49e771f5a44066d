// The part of ServingHandler that tracks runs: their inner calls, and the crashes that end them.

#include <egretlatch/decision/serving_handler.hpp>

#include <charconv>

#include <fmt/format.h>

namespace egretlatch::decision
{

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

void ServingHandler::detectCrash(const Attempt &attempt, const RunEnded &ended, const SteadyTime now)
{
    if (std::holds_alternative<RunAnswer>(ended.result)) {
        clearIfSuspect(attempt);
        return;
    }
    switch (std::get<RunFailure>(ended.result)) {
    case RunFailure::lost:
        m_crashDetector.noteLostRun(fingerprint(attempt), now);
        return;
    case RunFailure::notConnected:
        recordCrash(m_crashDetector.noteConnectFailure(now));
        return;
    case RunFailure::rejected:
        return;
    }
}

void ServingHandler::clearIfSuspect(const Attempt &attempt)
{
    // Fingerprints are computed only while there are suspects, which is rare.
    if (m_context.suspects.isEmpty()) {
        return;
    }
    const admission::RequestFingerprint request = fingerprint(attempt);
    if (m_context.suspects.noteSuccess(request)) {
        m_crashReports.push_back(CrashReport::forSuccess(m_context.self, m_context.incarnation, ++m_lastCrashReport, request));
    }
}

void ServingHandler::noteServerReplaced(const SteadyTime now)
{
    m_performanceMeter.clear();
    recordCrash(m_crashDetector.noteReplacement(now));
}

void ServingHandler::recordCrash(const std::vector<admission::RequestFingerprint> &running)
{
    if (!running.empty()) {
        m_context.metrics.count("server_crashes", m_context.roster.self().service);
        m_crashReports.push_back(CrashReport::forCrash(m_context.self, m_context.incarnation, ++m_lastCrashReport, running));
    }
}

admission::RequestFingerprint ServingHandler::fingerprint(const Attempt &attempt) const
{
    const protocol::CallRequest &request = attempt.request;
    const DaemonId &from = std::get<DaemonId>(attempt.origin);
    const membership::Member *const member = from == m_context.self ? &m_context.roster.self() : m_context.roster.find(from);
    const std::string caller = member == nullptr ? std::string{} : member->service;
    return admission::fingerprintOf(request.method, request.path, caller, {request.body.constData(), static_cast<std::size_t>(request.body.size())});
}

} // namespace egretlatch::decision
