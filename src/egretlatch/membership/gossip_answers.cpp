// The part of Gossip that composes messages and answers those of other daemons.

#include <egretlatch/membership/gossip.hpp>

namespace egretlatch::membership
{

namespace internal
{

constexpr std::size_t updatesInMessage = 12;
constexpr std::size_t membersInPage = 24;
constexpr std::size_t rumoursInPage = 8;

} // namespace internal

void Gossip::answerPing(
    const DaemonId &sender, const Incarnation incarnation, const GossipMessage &message, const std::optional<Suspicion> &suspicion, const SteadyTime now)
{
    GossipMessage answer = makeMessage(GossipPurpose::ack, now);
    answer.sequence = message.sequence;
    answer.receiver = incarnation;
    if (suspicion.has_value()) {
        answer.suspicions.push_back(*suspicion);
    }
    if (const Member *const known = m_roster.find(sender); known != nullptr && known->incarnation > incarnation) {
        // An earlier incarnation of the sender, started while its clock was ahead, overrides its current entry. It may not know.
        answer.members.push_back(*known);
    }
    addDepartures(answer, sender, now);
    answer.knewPredecessor = m_roster.knewServingPredecessor(sender, incarnation);
    sendTo(sender, std::move(answer));
}

void Gossip::relayPing(const DaemonId &sender, const Incarnation incarnation, const GossipMessage &message, const SteadyTime now)
{
    const std::uint64_t sequence = m_prober.nextSequence();
    m_relays.add(sequence, {.requester = sender, .incarnation = incarnation, .sequence = message.sequence}, now);
    GossipMessage ping = makeMessage(GossipPurpose::ping, now);
    ping.sequence = sequence;
    m_effects.messages.push_back({.to = message.subject, .message = std::move(ping)});
}

void Gossip::relayAck(const std::uint64_t sequence, const SteadyTime now)
{
    const std::optional<PingRelay> relay = m_relays.take(sequence);
    if (!relay.has_value()) {
        return;
    }
    GossipMessage answer = makeMessage(GossipPurpose::ack, now);
    answer.sequence = relay->sequence;
    answer.receiver = relay->incarnation;
    sendTo(relay->requester, std::move(answer));
}

void Gossip::answerPull(const DaemonId &sender, const Incarnation incarnation, const GossipMessage &message, const SteadyTime now)
{
    GossipMessage answer = makeMessage(GossipPurpose::pullReply, now);
    answer.sequence = message.sequence;
    answer.receiver = incarnation;
    answer.page = message.page;
    answer.digest = digest();
    if (answer.digest != message.digest) {
        const std::vector<Member> members = m_roster.announcedPage(message.page, internal::membersInPage);
        const std::vector<Rumour> rumours = m_rumours.page(message.page, internal::rumoursInPage, now);
        answer.hasMore = members.size() == internal::membersInPage || rumours.size() == internal::rumoursInPage;
        answer.members.insert(answer.members.end(), members.begin(), members.end());
        answer.rumours.insert(answer.rumours.end(), rumours.begin(), rumours.end());
        // The digests differ, so the requester may also hold state that is unknown here.
        if (m_statePull.mayPullBack(now)) {
            m_statePull.begin(sender, now);
        }
    }
    sendTo(sender, std::move(answer));
}

GossipMessage Gossip::makeMessage(const GossipPurpose purpose, const SteadyTime now)
{
    GossipMessage message;
    message.purpose = purpose;
    message.members.push_back(m_roster.self());
    message.performance = m_performance;
    addUpdates(message, now);
    return message;
}

void Gossip::addUpdates(GossipMessage &message, const SteadyTime now)
{
    for (const UpdateSubject &subject : m_updates.take(internal::updatesInMessage)) {
        if (const auto *const key = std::get_if<RumourKey>(&subject)) {
            if (const std::optional<Rumour> rumour = m_rumours.find(*key, now)) {
                message.rumours.push_back(*rumour);
            }
            continue;
        }
        const DaemonId &id = std::get<DaemonId>(subject);
        if (const std::optional<Suspicion> suspicion = suspicionOf(id)) {
            message.suspicions.push_back(*suspicion);
        } else if (const Member *const member = m_roster.findAnnounced(id); member != nullptr && id != m_roster.self().id) {
            message.members.push_back(*member);
        }
    }
}

void Gossip::addDepartures(GossipMessage &message, const DaemonId &daemon, const SteadyTime now) const
{
    for (Rumour &rumour : m_rumours.departuresOf(daemon, now)) {
        message.rumours.push_back(std::move(rumour));
    }
}

} // namespace egretlatch::membership
