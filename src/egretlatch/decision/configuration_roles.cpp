#include <egretlatch/decision/configuration_roles.hpp>

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include <egretlatch/routing/subset.hpp>

namespace egretlatch::decision
{

namespace internal
{

// Enough that a third of the fleet cut off from the store, or answers of the store that get lost, leave some readers.
constexpr std::size_t minReaders = 12;
constexpr std::size_t minReadersPerDataCentre = 2;
// A random graph with this many edges at each daemon is connected in a fleet of hundreds, and a dozen connections stay open for it.
constexpr std::size_t nearNeighbours = 10;
constexpr std::size_t farNeighbours = 6;

[[nodiscard]] static std::uint64_t placeOf(const membership::Member &member)
{
    return XXH64(member.id.value.data(), member.id.value.size(), 0);
}

[[nodiscard]] static bool mayRead(const membership::Member &member)
{
    return member.state == membership::MemberState::idle || member.state == membership::MemberState::serving;
}

} // namespace internal

ConfigurationRoles::ConfigurationRoles(const membership::Roster &roster)
    : m_roster{roster}
{
}

configuration::ReadDuty ConfigurationRoles::own()
{
    update();
    return m_own;
}

configuration::ReadTurn ConfigurationRoles::turn()
{
    update();
    return m_turn;
}

const std::vector<configuration::Peer> &ConfigurationRoles::readers()
{
    update();
    return m_readers;
}

const std::vector<configuration::Peer> &ConfigurationRoles::deputies()
{
    update();
    return m_deputies;
}

const std::vector<configuration::Peer> &ConfigurationRoles::neighbours()
{
    update();
    return m_neighbours;
}

void ConfigurationRoles::update()
{
    if (m_isKnown && m_version == m_roster.version()) {
        return;
    }
    m_isKnown = true;
    m_version = m_roster.version();
    chooseReaders();
    chooseNeighbours();
}

std::map<std::string, ConfigurationRoles::Candidates> ConfigurationRoles::candidates() const
{
    std::map<std::string, std::vector<std::pair<std::uint64_t, const membership::Member *>>> placed;
    const auto add = [&placed](const membership::Member &member) {
        if (internal::mayRead(member)) {
            placed[member.dataCentre].emplace_back(internal::placeOf(member), &member);
        }
    };
    add(m_roster.self());
    for (const DaemonId &id : m_roster.participants()) {
        add(*m_roster.find(id));
    }
    std::map<std::string, Candidates> candidates;
    for (auto &[dataCentre, members] : placed) {
        std::sort(members.begin(), members.end());
        Candidates &sorted = candidates[dataCentre];
        for (const auto &[place, member] : members) {
            sorted.push_back(member);
        }
    }
    return candidates;
}

void ConfigurationRoles::chooseReaders()
{
    m_own = configuration::ReadDuty::none;
    m_turn = {};
    m_readers.clear();
    m_deputies.clear();
    const std::map<std::string, Candidates> candidates = this->candidates();
    if (candidates.empty()) {
        return;
    }
    const std::size_t share = (internal::minReaders + candidates.size() - 1) / candidates.size();
    const std::size_t readers = std::max(share, internal::minReadersPerDataCentre);
    const membership::Member &self = m_roster.self();
    std::size_t dataCentre = 0;
    for (const auto &[name, members] : candidates) {
        for (std::size_t place = 0; place < std::min(readers, members.size()); ++place) {
            if (members[place] == &self) {
                m_turn = {.index = place * candidates.size() + dataCentre, .count = readers * candidates.size()};
            } else {
                m_readers.push_back(peerOf(members[place]->id));
            }
        }
        ++dataCentre;
    }
    const auto near = candidates.find(self.dataCentre);
    if (near != candidates.end()) {
        chooseOwnDuty(near->second, std::min(readers, near->second.size()));
    }
}

void ConfigurationRoles::chooseOwnDuty(const Candidates &near, const std::size_t readers)
{
    const std::size_t readersAndDeputies = std::min(2 * readers, near.size());
    const auto place = static_cast<std::size_t>(std::find(near.begin(), near.end(), &m_roster.self()) - near.begin());
    if (place >= readersAndDeputies) {
        return;
    }
    m_own = place < readers ? configuration::ReadDuty::reader : configuration::ReadDuty::deputy;
    for (std::size_t index = readers; m_own == configuration::ReadDuty::reader && index < readersAndDeputies; ++index) {
        m_deputies.push_back(peerOf(near[index]->id));
    }
}

void ConfigurationRoles::chooseNeighbours()
{
    m_neighbours.clear();
    const membership::Member &self = m_roster.self();
    std::vector<DaemonId> near;
    std::vector<DaemonId> far;
    for (const DaemonId &id : m_roster.participants()) {
        (m_roster.find(id)->dataCentre == self.dataCentre ? near : far).push_back(id);
    }
    near = routing::subsetOf(self.id, std::move(near), internal::nearNeighbours);
    far = routing::subsetOf(self.id, std::move(far), internal::farNeighbours);
    for (const std::vector<DaemonId> *const group : {&near, &far}) {
        for (const DaemonId &id : *group) {
            m_neighbours.push_back(peerOf(id));
        }
    }
    std::erase_if(m_neighbours, [](const configuration::Peer &peer) {
        return peer.endpoint.empty();
    });
}

configuration::Peer ConfigurationRoles::peerOf(const DaemonId &id) const
{
    return {.id = id, .endpoint = m_roster.find(id)->endpoint};
}

} // namespace egretlatch::decision
