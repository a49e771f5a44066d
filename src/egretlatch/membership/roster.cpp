#include <egretlatch/membership/roster.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

#include <fmt/format.h>
#include <xxhash.h>

namespace egretlatch::membership
{

namespace internal
{

// A suspect needs time to receive the suspicion and to refute it; the time to disseminate either grows with log(fleet size).
constexpr std::chrono::seconds suspicionUnit{4};
constexpr std::chrono::hours forgetAfter{6};

[[nodiscard]] static auto rankOf(const Member &member)
{
    return std::tie(member.incarnation, member.revision);
}

[[nodiscard]] static bool isSuspectOrGone(const MemberState state)
{
    return state == MemberState::suspect || state == MemberState::gone;
}

[[nodiscard]] static bool hasServer(const MemberState state)
{
    return state == MemberState::serving || state == MemberState::draining;
}

[[nodiscard]] static std::uint64_t digestOf(const Member &member)
{
    const std::string text = fmt::format(
        "{}\n{}\n{}\n{}\n{}\n{}", member.id.value, member.incarnation.value, static_cast<int>(member.state), member.endpoint, member.service, member.slots);
    return XXH64(text.data(), text.size(), 0);
}

} // namespace internal

Roster::Roster(Member self)
    : m_self{std::move(self)}
{
}

MergeOutcome Roster::merge(const Member &member, const UpdateSource source, const SteadyTime now)
{
    if (member.id == m_self.id) {
        return mergeSelf(member);
    }
    const auto [found, isNew] =
        m_others.try_emplace(member.id, Entry{.announced = member, .shown = member, .since = now, .hasServed = internal::hasServer(member.state)});
    if (isNew) {
        noteChanged(member.id);
        return MergeOutcome::changed;
    }
    Entry &entry = found->second;
    if (internal::rankOf(member) > internal::rankOf(entry.announced)) {
        return replace(entry, member, now);
    }
    if (internal::rankOf(member) < internal::rankOf(entry.announced)) {
        return MergeOutcome::unchanged;
    }
    const bool hasLaterBeat = member.beat > entry.announced.beat;
    entry.announced.beat = std::max(entry.announced.beat, member.beat);
    const bool isTimedOut = entry.shown.state == MemberState::gone && entry.announced.state != MemberState::gone;
    const bool isSuspectOrGone = isTimedOut || entry.shown.state == MemberState::suspect;
    // After a partition, two regions list each other's members as gone at their current revisions, and a suspicion overrides
    // an entry of its own revision. So that not every member has to receive and refute a suspicion, two things restore an
    // entry of the same revision: a message from the member itself, or a later heartbeat, which a dead daemon cannot send.
    if ((source == UpdateSource::member && isSuspectOrGone) || (isTimedOut && hasLaterBeat)) {
        return replace(entry, member, now);
    }
    return MergeOutcome::unchanged;
}

MergeOutcome Roster::suspect(const Suspicion &suspicion, const SteadyTime now)
{
    if (suspicion.id == m_self.id) {
        if (suspicion.incarnation != m_self.incarnation || suspicion.revision < m_self.revision) {
            return MergeOutcome::unchanged;
        }
        m_self.revision = suspicion.revision + 1;
        ++m_version;
        return MergeOutcome::refuted;
    }
    const auto found = m_others.find(suspicion.id);
    if (found == m_others.end()) {
        return MergeOutcome::unchanged;
    }
    Entry &entry = found->second;
    const bool isOutdated = std::tie(suspicion.incarnation, suspicion.revision) < internal::rankOf(entry.announced);
    if (isOutdated || internal::isSuspectOrGone(entry.shown.state)) {
        return MergeOutcome::unchanged;
    }
    entry.shown.state = MemberState::suspect;
    entry.since = now;
    noteChanged(suspicion.id);
    return MergeOutcome::changed;
}

MergeOutcome Roster::mergeSelf(const Member &member)
{
    if (isOutrankedByEarlierIncarnation(member)) {
        m_self.incarnation = Incarnation{member.incarnation.value + 1};
        noteChanged(m_self.id);
        return MergeOutcome::refuted;
    }
    // A higher incarnation is this daemon's replacement on another VM, which the older incarnation must not override.
    const bool isSameIncarnation = member.incarnation == m_self.incarnation;
    const bool isOverruled = member.revision > m_self.revision;
    if (!isSameIncarnation || !isOverruled) {
        return MergeOutcome::unchanged;
    }
    m_self.revision = member.revision + 1;
    ++m_version;
    return MergeOutcome::refuted;
}

// Incarnations are taken from the wall clock. If the clock was set back, a restarted daemon gets a lower incarnation than its
// predecessor at the same address, and without a raise its entries would be ignored everywhere.
bool Roster::isOutrankedByEarlierIncarnation(const Member &member) const
{
    return m_mayRaiseIncarnation && member.endpoint == m_self.endpoint && member.incarnation > m_self.incarnation;
}

MergeOutcome Roster::replace(Entry &entry, const Member &member, const SteadyTime now)
{
    const std::uint64_t latestBeat = std::max(member.beat, member.incarnation == entry.announced.incarnation ? entry.announced.beat : 0);
    if (member.incarnation != entry.announced.incarnation) {
        entry.hasServedBefore = entry.hasServedBefore || entry.hasServed;
        entry.hasServed = false;
    }
    entry.hasServed = entry.hasServed || internal::hasServer(member.state);
    entry.announced = member;
    entry.announced.beat = latestBeat;
    entry.shown = entry.announced;
    entry.since = now;
    noteChanged(member.id);
    return MergeOutcome::changed;
}

void Roster::updateSelf(const MemberState state, const std::string &service, const int slots, const int connections)
{
    m_self.state = state;
    m_self.service = service;
    m_self.slots = slots;
    m_self.connections = connections;
    ++m_self.revision;
    noteChanged(m_self.id);
}

void Roster::beat() noexcept
{
    ++m_self.beat;
}

bool Roster::tick(const SteadyTime now)
{
    bool hasChanged = false;
    const Duration timeout = suspicionTimeout();
    for (auto &[id, entry] : m_others) {
        if (entry.shown.state == MemberState::suspect && now - entry.since >= timeout) {
            entry.shown.state = MemberState::gone;
            entry.since = now;
            noteChanged(id);
            hasChanged = true;
        }
    }
    const auto forgotten = std::erase_if(m_others, [now](const auto &item) {
        return item.second.shown.state == MemberState::gone && now - item.second.since >= internal::forgetAfter;
    });
    m_version += forgotten > 0 ? 1 : 0;
    return hasChanged || forgotten > 0;
}

const Member *Roster::find(const DaemonId &id) const noexcept
{
    if (id == m_self.id) {
        return &m_self;
    }
    const auto found = m_others.find(id);
    return found == m_others.end() ? nullptr : &found->second.shown;
}

const Member *Roster::findAnnounced(const DaemonId &id) const noexcept
{
    if (id == m_self.id) {
        return &m_self;
    }
    const auto found = m_others.find(id);
    if (found == m_others.end()) {
        return nullptr;
    }
    const Entry &entry = found->second;
    const bool isAnnounced = !internal::isSuspectOrGone(entry.shown.state) || entry.announced.state == MemberState::gone;
    return isAnnounced ? &entry.announced : nullptr;
}

bool Roster::knewServingPredecessor(const DaemonId &id, const Incarnation incarnation) const noexcept
{
    const auto found = m_others.find(id);
    return found != m_others.end() && found->second.announced.incarnation == incarnation && found->second.hasServedBefore;
}

std::vector<Member> Roster::members() const
{
    std::vector<Member> all{m_self};
    all.reserve(m_others.size() + 1);
    for (const auto &[id, entry] : m_others) {
        all.push_back(entry.shown);
    }
    return all;
}

const std::vector<DaemonId> &Roster::participants() const
{
    // Cached: read many times a second, and rarely changes.
    if (m_participantsVersion != m_version) {
        m_participantsVersion = m_version;
        m_participants.clear();
        for (const auto &[id, entry] : m_others) {
            if (entry.shown.state != MemberState::gone) {
                m_participants.push_back(id);
            }
        }
    }
    return m_participants;
}

std::vector<DaemonId> Roster::absent() const
{
    std::vector<DaemonId> ids;
    for (const auto &[id, entry] : m_others) {
        if (entry.shown.state == MemberState::gone) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::size_t Roster::countNotLeft() const
{
    return static_cast<std::size_t>(std::count_if(m_others.begin(), m_others.end(), [](const auto &item) {
        return item.second.announced.state != MemberState::gone;
    }));
}

std::vector<Member> Roster::announcedPage(const std::size_t page, const std::size_t pageSize) const
{
    std::vector<Member> entries;
    std::size_t index = 0;
    for (const auto &[id, entry] : m_others) {
        const Member *const member = findAnnounced(id);
        if (member == nullptr) {
            continue;
        }
        if (index >= page * pageSize && entries.size() < pageSize) {
            entries.push_back(*member);
        }
        ++index;
    }
    return entries;
}

std::uint64_t Roster::digest() const
{
    std::uint64_t sum = internal::digestOf(m_self);
    for (const auto &[id, entry] : m_others) {
        // Entries that a pull does not return are left out, or the digests of two rosters would never match.
        if (findAnnounced(id) != nullptr && entry.announced.state != MemberState::gone) {
            sum += internal::digestOf(entry.announced);
        }
    }
    return sum;
}

std::vector<DaemonId> Roster::takeChanged()
{
    std::vector<DaemonId> changed;
    changed.swap(m_changed);
    return changed;
}

void Roster::noteChanged(const DaemonId &id)
{
    ++m_version;
    m_changed.push_back(id);
}

Duration Roster::suspicionTimeout() const
{
    const double scale = std::max(1.0, std::log10(static_cast<double>(m_others.size() + 1)));
    return std::chrono::duration_cast<Duration>(internal::suspicionUnit * scale);
}

} // namespace egretlatch::membership
