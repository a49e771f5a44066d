#include <egretlatch/membership/roster.hpp>

#include <tuple>

namespace egretlatch::membership
{

namespace internal
{

constexpr std::chrono::seconds suspectAfter{3};
constexpr std::chrono::seconds goneAfter{60};

[[nodiscard]] static bool isNewer(const Member &news, const Member &known)
{
    return std::tie(news.incarnation, news.revision) > std::tie(known.incarnation, known.revision);
}

} // namespace internal

Roster::Roster(Member self)
    : m_self{std::move(self)}
{
}

bool Roster::merge(const Member &member, const SteadyTime now)
{
    if (member.id == m_self.id) {
        return false;
    }
    const auto [entry, isNew] = m_others.try_emplace(member.id, Entry{.member = member, .heard = now});
    if (isNew) {
        return true;
    }
    entry->second.heard = now;
    const bool wasAged = entry->second.member.state == MemberState::suspect;
    if (!wasAged && !internal::isNewer(member, entry->second.member)) {
        return false;
    }
    entry->second.member = member;
    return true;
}

void Roster::updateSelf(const MemberState state, const std::string &service, const int slots, const int connections)
{
    m_self.state = state;
    m_self.service = service;
    m_self.slots = slots;
    m_self.connections = connections;
    ++m_self.revision;
}

bool Roster::tick(const SteadyTime now)
{
    bool hasChanged = false;
    for (auto &[id, entry] : m_others) {
        const Duration silence = now - entry.heard;
        MemberState state = entry.member.state;
        if (silence > internal::goneAfter) {
            state = MemberState::gone;
        } else if (silence > internal::suspectAfter && state != MemberState::gone) {
            state = MemberState::suspect;
        }
        hasChanged = hasChanged || state != entry.member.state;
        entry.member.state = state;
    }
    return hasChanged;
}

const Member *Roster::find(const DaemonId &id) const noexcept
{
    if (id == m_self.id) {
        return &m_self;
    }
    const auto found = m_others.find(id);
    return found == m_others.end() ? nullptr : &found->second.member;
}

std::vector<Member> Roster::members() const
{
    std::vector<Member> all{m_self};
    all.reserve(m_others.size() + 1);
    for (const auto &[id, entry] : m_others) {
        all.push_back(entry.member);
    }
    return all;
}

} // namespace egretlatch::membership
