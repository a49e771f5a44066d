#include <egretlatch/retry/verdict_rules.hpp>

#include <egretlatch/retry/request_key.hpp>

namespace egretlatch::retry
{

Verdict verdictOf(const AttemptEnd end) noexcept
{
    switch (end) {
    case AttemptEnd::answered:
        return Verdict::completed;
    case AttemptEnd::neverSent:
    case AttemptEnd::refusedOnArrival:
    case AttemptEnd::removedFromQueue:
    case AttemptEnd::notConnected:
    case AttemptEnd::rejectedByServer:
    case AttemptEnd::missedEarlierIncarnation:
        return Verdict::notRun;
    case AttemptEnd::connectionLost:
    case AttemptEnd::aborted:
    case AttemptEnd::unanswered:
    case AttemptEnd::meantForEarlierIncarnation:
        break;
    }
    return Verdict::mayHaveRun;
}

Verdict combine(const Verdict earlier, const Verdict last) noexcept
{
    if (last == Verdict::completed) {
        return Verdict::completed;
    }
    return earlier == Verdict::notRun && last == Verdict::notRun ? Verdict::notRun : Verdict::mayHaveRun;
}

Verdict verdictForKey(const KeyKnowledge knowledge, const Verdict attempts) noexcept
{
    if (knowledge == KeyKnowledge::none && attempts == Verdict::notRun) {
        return Verdict::mayHaveRun;
    }
    return attempts;
}

Verdict verdictBeforeLookup(const std::string_view key) noexcept
{
    return verdictForKey(key.empty() || !isUsableKey(key) ? KeyKnowledge::noKey : KeyKnowledge::none, Verdict::notRun);
}

} // namespace egretlatch::retry
