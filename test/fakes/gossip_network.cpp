#include <fakes/gossip_network.hpp>

#include <charconv>

#include <fmt/format.h>

#include <egretlatch/protocol/codec.hpp>

namespace fakes
{

namespace internal
{

constexpr std::chrono::milliseconds stepLength{50};
constexpr std::chrono::milliseconds leastDelay{1};
constexpr std::chrono::milliseconds delaySpread{5};
constexpr std::size_t contactCount = 3;

[[nodiscard]] static egretlatch::DaemonId idOf(const std::size_t index)
{
    return {fmt::format("d{:03}", index)};
}

[[nodiscard]] static std::size_t indexOf(const egretlatch::DaemonId &id)
{
    std::size_t index = 0;
    std::from_chars(id.value.data() + 1, id.value.data() + id.value.size(), index);
    return index;
}

[[nodiscard]] static std::vector<egretlatch::membership::Contact> contactsFor(const std::size_t index)
{
    std::vector<egretlatch::membership::Contact> contacts;
    for (std::size_t contact = 0; contact < contactCount; ++contact) {
        if (contact != index) {
            contacts.push_back({.id = idOf(contact), .endpoint = "tcp://contact"});
        }
    }
    return contacts;
}

} // namespace internal

GossipNode::GossipNode(egretlatch::membership::Member self, const std::uint64_t seed, std::vector<egretlatch::membership::Contact> contacts)
    : initialSelf{std::move(self)}
    , random{seed}
    , roster{initialSelf}
    , gossip{roster, random, metrics, std::move(contacts)}
{
}

GossipNetwork::GossipNetwork(const std::size_t count, const std::uint64_t seed)
    : m_seed{seed}
    , m_random{seed}
{
    for (std::size_t index = 0; index < count; ++index) {
        static_cast<void>(add());
    }
}

std::size_t GossipNetwork::add()
{
    m_nodes.push_back(makeNode(m_nodes.size(), 1));
    m_undelivered.emplace_back();
    return m_nodes.size() - 1;
}

void GossipNetwork::replace(const std::size_t index)
{
    start(index, m_nodes[index]->initialSelf.incarnation.value + 1);
}

void GossipNetwork::startWithClockSetBack(const std::size_t index)
{
    start(index, m_nodes[index]->initialSelf.incarnation.value - 1);
    m_nodes[index]->roster.allowIncarnationRaise();
}

void GossipNetwork::start(const std::size_t index, const std::uint64_t incarnation)
{
    m_nodes[index] = makeNode(index, incarnation);
    m_undelivered[index].clear();
    m_dead.erase(index);
}

void GossipNetwork::setRunning(const std::size_t index, const bool isRunning)
{
    m_nodes[index]->isRunning = isRunning;
    for (Delivery &delivery : m_undelivered[index]) {
        delivery.at = m_clock.steadyNow();
        m_deliveries.push(std::move(delivery));
    }
    m_undelivered[index].clear();
}

void GossipNetwork::kill(const std::size_t index)
{
    m_nodes[index]->isRunning = false;
    m_dead.insert(index);
}

void GossipNetwork::run(const egretlatch::Duration span)
{
    const egretlatch::SteadyTime end = m_clock.steadyNow() + span;
    while (m_clock.steadyNow() < end) {
        step();
    }
}

std::optional<egretlatch::Duration> GossipNetwork::runUntil(const std::function<bool()> &condition, const egretlatch::Duration limit)
{
    const egretlatch::SteadyTime begin = m_clock.steadyNow();
    while (m_clock.steadyNow() - begin <= limit) {
        if (condition()) {
            return m_clock.steadyNow() - begin;
        }
        step();
    }
    return std::nullopt;
}

egretlatch::membership::MemberState GossipNetwork::observedState(const std::size_t observer, const std::size_t subject) const
{
    const egretlatch::membership::Member *const member = m_nodes[observer]->roster.find(internal::idOf(subject));
    return member == nullptr ? egretlatch::membership::MemberState::gone : member->state;
}

bool GossipNetwork::allSee(const std::size_t subject, const egretlatch::membership::MemberState state) const
{
    for (std::size_t observer = 0; observer < m_nodes.size(); ++observer) {
        if (m_nodes[observer]->isRunning && observer != subject && observedState(observer, subject) != state) {
            return false;
        }
    }
    return true;
}

bool GossipNetwork::hasConverged() const
{
    for (std::size_t subject = 0; subject < m_nodes.size(); ++subject) {
        if (m_nodes[subject]->isRunning && !allSee(subject, egretlatch::membership::MemberState::serving)) {
            return false;
        }
    }
    return true;
}

void GossipNetwork::resetCounts()
{
    for (const std::unique_ptr<GossipNode> &node : m_nodes) {
        node->bytesSent = 0;
        node->messagesSent = 0;
    }
}

std::uint64_t GossipNetwork::bytesSent() const
{
    std::uint64_t bytes = 0;
    for (const std::unique_ptr<GossipNode> &node : m_nodes) {
        bytes += node->bytesSent;
    }
    return bytes;
}

std::unique_ptr<GossipNode> GossipNetwork::makeNode(const std::size_t index, const std::uint64_t incarnation)
{
    egretlatch::membership::Member self;
    self.id = internal::idOf(index);
    self.incarnation = {incarnation};
    self.state = egretlatch::membership::MemberState::serving;
    self.endpoint = fmt::format("tcp://10.0.{}.{}:7100", index / 250, index % 250);
    self.region = "region-1";
    self.dataCentre = "centre-1";
    self.service = "launch-log";
    self.slots = 35;
    self.connections = 300;
    constexpr std::uint64_t seedStride = 1000;
    return std::make_unique<GossipNode>(self, (m_seed * seedStride) + index + incarnation, internal::contactsFor(index));
}

void GossipNetwork::collect(const std::size_t index)
{
    GossipNode &node = *m_nodes[index];
    egretlatch::membership::GossipEffects effects = node.gossip.takeEffects();
    node.rumours.insert(node.rumours.end(), effects.rumours.begin(), effects.rumours.end());
    if (effects.isolation.has_value()) {
        node.isolationChanges.push_back(*effects.isolation);
    }
    for (egretlatch::membership::OutgoingGossip &outgoing : effects.messages) {
        const egretlatch::protocol::Envelope envelope{
            .sender = node.initialSelf.id, .incarnation = node.roster.self().incarnation, .message = outgoing.message};
        node.bytesSent += egretlatch::protocol::encode(envelope).size();
        ++node.messagesSent;
        const std::size_t to = internal::indexOf(outgoing.to.id);
        const bool isLost = m_random.fraction() < m_loss || (m_partition && m_partition(index, to));
        if (isLost || to >= m_nodes.size() || m_dead.contains(to)) {
            continue;
        }
        const egretlatch::Duration delay = internal::leastDelay + std::chrono::duration_cast<egretlatch::Duration>(internal::delaySpread * m_random.fraction());
        m_deliveries.push({.at = m_clock.steadyNow() + delay,
                           .number = ++m_lastNumber,
                           .from = index,
                           .to = to,
                           .incarnation = node.roster.self().incarnation,
                           .message = std::move(outgoing.message)});
    }
}

void GossipNetwork::deliverDue()
{
    while (!m_deliveries.empty() && m_deliveries.top().at <= m_clock.steadyNow()) {
        Delivery delivery = m_deliveries.top();
        m_deliveries.pop();
        if (m_dead.contains(delivery.to)) {
            continue;
        }
        if (!m_nodes[delivery.to]->isRunning) {
            m_undelivered[delivery.to].push_back(std::move(delivery));
            continue;
        }
        m_nodes[delivery.to]->gossip.noteMessage(m_clock.steadyNow());
        m_nodes[delivery.to]->gossip.handle(internal::idOf(delivery.from), delivery.incarnation, delivery.message, m_clock.steadyNow());
        collect(delivery.to);
    }
}

void GossipNetwork::step()
{
    constexpr int deliveriesInStep = 10;
    for (int part = 0; part < deliveriesInStep; ++part) {
        m_clock.advance(internal::stepLength / deliveriesInStep);
        deliverDue();
    }
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        if (m_nodes[index]->isRunning) {
            m_nodes[index]->gossip.tick(m_clock.steadyNow());
            collect(index);
        }
    }
}

} // namespace fakes
