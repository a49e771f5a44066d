#include <egretlatch/retry/key_ledger.hpp>

#include <algorithm>

namespace egretlatch::retry
{

namespace internal
{

[[nodiscard]] static std::size_t sizeOf(const HeldAnswer &answer)
{
    std::size_t bytes = static_cast<std::size_t>(answer.body.size());
    for (const Header &header : answer.headers) {
        bytes += header.name.size() + header.value.size();
    }
    return bytes;
}

[[nodiscard]] static KeyState stateAfter(const Verdict verdict)
{
    switch (verdict) {
    case Verdict::completed:
        return KeyState::answered;
    case Verdict::notRun:
        return KeyState::closed;
    case Verdict::mayHaveRun:
        break;
    }
    return KeyState::uncertain;
}

} // namespace internal

KeyLedger::KeyLedger(const KeyLedgerLimits limits)
    : m_limits{limits}
{
}

KeyLookup KeyLedger::find(const std::string &key, const Age age, const std::uint64_t requestHash) const
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end()) {
        return {.state = age <= m_forgottenThrough ? KeyState::forgotten : KeyState::fresh};
    }
    const Entry &entry = found->second;
    if (entry.requestHash != requestHash) {
        const Verdict verdict = entry.state == KeyState::closed ? Verdict::notRun : Verdict::mayHaveRun;
        return {.state = KeyState::mismatched, .verdict = verdict};
    }
    const HeldAnswer *const answer = entry.state == KeyState::answered ? &entry.answer : nullptr;
    return {.state = entry.state, .answer = answer, .attemptsLeft = entry.attemptsLeft};
}

void KeyLedger::begin(const std::string &key, const Age age, const std::uint64_t requestHash)
{
    forgetOldest();
    Entry entry;
    entry.age = age;
    entry.requestHash = requestHash;
    m_entries.emplace(key, std::move(entry));
}

void KeyLedger::end(const std::string &key, const Verdict verdict, HeldAnswer answer, const int attemptsLeft)
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end() || found->second.state != KeyState::running) {
        return;
    }
    Entry &entry = found->second;
    entry.state = internal::stateAfter(verdict);
    entry.attemptsLeft = attemptsLeft;
    m_ended.emplace(entry.age, key);
    if (verdict != Verdict::completed) {
        return;
    }
    entry.answer = std::move(answer);
    m_answerBytes += internal::sizeOf(entry.answer);
    m_answered.push_back(key);
    dropAnswers();
}

void KeyLedger::reopen(const std::string &key)
{
    const auto found = m_entries.find(key);
    if (found != m_entries.end() && found->second.state == KeyState::closed) {
        m_ended.erase({found->second.age, key});
        m_entries.erase(found);
    }
}

void KeyLedger::forgetOldest()
{
    while (m_entries.size() >= m_limits.entries && !m_ended.empty()) {
        const auto oldest = m_ended.begin();
        const auto entry = m_entries.find(oldest->second);
        if (entry->second.state == KeyState::answered) {
            m_answerBytes -= internal::sizeOf(entry->second.answer);
        }
        // A forgotten key would look fresh to its next resend and run a second time, so all keys of its age or older count as
        // forgotten from now on. The age is part of the key, so this also covers keys that were never seen.
        m_forgottenThrough = std::max(m_forgottenThrough, oldest->first);
        m_entries.erase(entry);
        m_ended.erase(oldest);
    }
}

void KeyLedger::dropAnswers()
{
    while (m_answerBytes > m_limits.answerBytes || m_answered.size() > m_limits.entries) {
        const auto found = m_entries.find(m_answered.front());
        m_answered.pop_front();
        if (found == m_entries.end() || found->second.state != KeyState::answered) {
            continue;
        }
        m_answerBytes -= internal::sizeOf(found->second.answer);
        found->second.answer = {};
        found->second.state = KeyState::answerDropped;
    }
}

} // namespace egretlatch::retry
