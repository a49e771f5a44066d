#include <algorithm>
#include <set>

#include <fmt/format.h>

#include <history/history.hpp>

namespace history
{

namespace internal
{

using Violations = std::vector<std::string>;
using egretlatch::Verdict;

[[nodiscard]] static const Sent *findSent(const History &history, const int exchange)
{
    const auto found = std::find_if(history.sent.begin(), history.sent.end(), [exchange](const Sent &sent) {
        return sent.exchange == exchange;
    });
    return found == history.sent.end() ? nullptr : &*found;
}

static void checkAtMostOnce(const History &history, Violations &violations)
{
    std::map<std::string, int> runs;
    for (const Ran &ran : history.ran) {
        if (!ran.idempotent && ++runs[ran.service + "/" + ran.kind + " " + ran.logicalId] == 2) {
            violations.push_back(fmt::format("ran-twice: {}/{} {} key {}", ran.service, ran.kind, ran.logicalId, ran.key));
        }
    }
}

static void checkNotRun(const History &history, Violations &violations)
{
    for (const Answered &answered : history.answered) {
        const Sent *const sent = findSent(history, answered.exchange);
        if (answered.verdict != Verdict::notRun || sent == nullptr) {
            continue;
        }
        const bool hasRun = std::any_of(history.ran.begin(), history.ran.end(), [sent](const Ran &ran) {
            return sent->key.empty() ? ran.logicalId == sent->logicalId : ran.key == sent->key;
        });
        if (hasRun) {
            violations.push_back(fmt::format("not-run-but-ran: exchange {} key {} ({})", answered.exchange, sent->key, answered.reason));
        }
    }
}

static void checkAnswers(const History &history, Violations &violations)
{
    std::set<int> seen;
    for (const Answered &answered : history.answered) {
        if (!seen.insert(answered.exchange).second) {
            violations.push_back(fmt::format("answered-twice: exchange {}", answered.exchange));
        }
        const Sent *const sent = findSent(history, answered.exchange);
        if (answered.verdict != Verdict::completed || sent == nullptr) {
            continue;
        }
        const bool isFromOwnRun = std::any_of(history.ran.begin(), history.ran.end(), [&](const Ran &ran) {
            return ran.answer == answered.body && ran.logicalId == sent->logicalId;
        });
        if (!isFromOwnRun) {
            violations.push_back(fmt::format("wrong-answer: exchange {} got {}", answered.exchange, answered.body));
        }
    }
    for (const Sent &sent : history.sent) {
        const bool isExempt = std::find(history.exempt.begin(), history.exempt.end(), sent.exchange) != history.exempt.end();
        if (!isExempt && !seen.contains(sent.exchange)) {
            violations.push_back(fmt::format("never-answered: exchange {}", sent.exchange));
        }
    }
}

static void checkAttempts(const History &history, Violations &violations)
{
    for (const auto &[root, attempts] : history.attempts) {
        const auto inner = history.innerCalls.find(root);
        const int calls = 1 + (inner == history.innerCalls.end() ? 0 : inner->second);
        const int allowed = calls + history.retryBudget;
        if (attempts > allowed) {
            violations.push_back(fmt::format("too-many-attempts: root {} made {}, allowed {}", root, attempts, allowed));
        }
    }
}

} // namespace internal

std::vector<std::string> check(const History &history)
{
    internal::Violations violations;
    internal::checkAtMostOnce(history, violations);
    internal::checkNotRun(history, violations);
    internal::checkAnswers(history, violations);
    internal::checkAttempts(history, violations);
    return violations;
}

} // namespace history
