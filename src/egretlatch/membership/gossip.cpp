#include <egretlatch/membership/gossip.hpp>

#include <algorithm>
#include <bit>

namespace egretlatch::membership
{

namespace internal
{

constexpr std::chrono::seconds beatInterval{10};
constexpr std::chrono::milliseconds spreadInterval{200};
// Interval at which each daemon pings an absent one. It grows with the fleet above the minimum, so that the fleet as a whole
// sends at most eight such pings a second.
constexpr std::chrono::milliseconds minAbsentPingInterval{2000};
constexpr std::chrono::milliseconds absentPingIntervalPerMember{125};
// Applies while no other member is known. A new daemon gets no work until others know it, and the contact it pings may be gone.
constexpr std::chrono::milliseconds joinInterval{300};
constexpr std::chrono::seconds maxTickGap{2};
constexpr int spreadTargets = 2;
constexpr int announceTargets = 4;
constexpr std::size_t joinTargets = 3;
constexpr std::size_t indirectHelpers = 3;
constexpr int sendsPerDoubling = 2;
constexpr std::size_t drawsPerChoice = 4;

[[nodiscard]] static int sendsFor(const std::size_t members)
{
    return sendsPerDoubling * static_cast<int>(std::bit_width(members));
}

} // namespace internal

Gossip::Gossip(Roster &roster, RandomSource &random, account::MetricsSink &metrics, std::vector<Contact> contacts)
    : m_roster{roster}
    , m_random{random}
    , m_metrics{metrics}
    , m_contacts{std::move(contacts)}
    , m_prober{random}
    , m_statePull{random}
{
}

void Gossip::handle(const DaemonId &sender, const Incarnation incarnation, const GossipMessage &message, const SteadyTime now)
{
    // Read before the message is merged: the message ends the suspicion here, but the sender must still refute it elsewhere.
    const std::optional<Suspicion> suspicion = suspicionOf(sender);
    mergeUpdates(sender, message, now);
    if (!message.performance.empty()) {
        m_effects.performance.emplace_back(sender, message.performance);
    }
    switch (message.purpose) {
    case GossipPurpose::news:
        break;
    case GossipPurpose::ping:
        answerPing(sender, incarnation, message, suspicion, now);
        break;
    case GossipPurpose::ack:
        m_prober.handleAck(message.sequence);
        m_effects.isKnownFromBefore = m_effects.isKnownFromBefore || message.knewPredecessor;
        relayAck(message.sequence, now);
        break;
    case GossipPurpose::pingRequest:
        relayPing(sender, incarnation, message, now);
        break;
    case GossipPurpose::pullRequest:
        answerPull(sender, incarnation, message, now);
        break;
    case GossipPurpose::pullReply:
        m_statePull.handleReply(sender, message.page, message.hasMore, now);
        break;
    }
}

void Gossip::tick(const SteadyTime now)
{
    // A daemon that was paused, or was not scheduled, resumes after the deadline of its probe although the ack may still be
    // unread. To avoid suspecting a live member, a probe that spans such a gap is dropped without a result.
    if (m_lastTick.has_value() && now - *m_lastTick > internal::maxTickGap) {
        m_prober.reset();
        m_metrics.count("membership", "tick-gap");
    }
    m_lastTick = now;
    if (now >= m_nextBeat) {
        m_nextBeat = now + internal::beatInterval;
        m_roster.beat();
    }
    m_rumours.expire(now);
    m_relays.expire(now);
    m_effects.haveMembersChanged = m_roster.tick(now) || m_effects.haveMembersChanged;
    const std::vector<DaemonId> &participants = m_roster.participants();
    for (const ProbeAction &action : m_prober.tick(participants, now)) {
        execute(action, now);
    }
    if (now >= m_nextAbsentPing) {
        const std::chrono::milliseconds shared = internal::absentPingIntervalPerMember * static_cast<int>(participants.size());
        m_nextAbsentPing = now + (participants.empty() ? Duration{internal::joinInterval} : Duration{std::max(internal::minAbsentPingInterval, shared)});
        pingAbsent(now);
    }
    pull(now);
    if (now >= m_nextSpread && !m_updates.isEmpty()) {
        sendUpdates(internal::spreadTargets, now);
    }
    checkIsolation(now);
}

std::size_t Gossip::countExpected() const
{
    const auto unknown = std::count_if(m_contacts.begin(), m_contacts.end(), [this](const Contact &contact) {
        return m_roster.find(contact.id) == nullptr;
    });
    return m_roster.countNotLeft() + static_cast<std::size_t>(unknown);
}

void Gossip::announceSelf(const SteadyTime now)
{
    queue(m_roster.self().id);
    sendUpdates(internal::announceTargets, now);
}

bool Gossip::spread(const Rumour &rumour, const SteadyTime now)
{
    const bool isAdded = m_rumours.add(rumour, now);
    if (isAdded) {
        queue(rumour.key);
    }
    return isAdded;
}

void Gossip::addContacts(const std::vector<Contact> &contacts)
{
    const std::size_t known = m_contacts.size();
    for (const Contact &contact : contacts) {
        if (contact.id != m_roster.self().id && std::find(m_contacts.begin(), m_contacts.end(), contact) == m_contacts.end()) {
            m_contacts.push_back(contact);
        }
    }
    if (m_contacts.size() > known && m_roster.participants().empty()) {
        m_nextAbsentPing = {};
    }
}

void Gossip::noteUnreachable(const DaemonId &daemon)
{
    m_prober.noteUnreachable(daemon);
}

GossipEffects Gossip::takeEffects()
{
    GossipEffects effects;
    std::swap(effects, m_effects);
    return effects;
}

void Gossip::mergeUpdates(const DaemonId &sender, const GossipMessage &message, const SteadyTime now)
{
    for (const Member &member : message.members) {
        UpdateSource source = message.purpose == GossipPurpose::pullReply ? UpdateSource::pull : UpdateSource::rumour;
        if (member.id == sender) {
            source = UpdateSource::member;
        }
        handleMergeOutcome(m_roster.merge(member, source, now), member.id, source);
    }
    for (const Suspicion &suspicion : message.suspicions) {
        handleMergeOutcome(m_roster.suspect(suspicion, now), suspicion.id, UpdateSource::rumour);
    }
    for (const Rumour &rumour : message.rumours) {
        if (m_rumours.add(rumour, now)) {
            m_effects.rumours.push_back(rumour);
            queue(rumour.key);
        }
    }
}

void Gossip::handleMergeOutcome(const MergeOutcome outcome, const DaemonId &id, const UpdateSource source)
{
    if (outcome == MergeOutcome::unchanged) {
        return;
    }
    m_effects.haveMembersChanged = true;
    if (outcome == MergeOutcome::refuted) {
        m_metrics.count("membership", "refuted");
    }
    if (source == UpdateSource::pull) {
        m_statePull.noteNewState();
    }
    // Pulled state is already widespread. If it were passed on, each new daemon would disseminate the whole fleet again.
    if (outcome == MergeOutcome::refuted || source != UpdateSource::pull) {
        queue(id);
    }
}

void Gossip::execute(const ProbeAction &action, const SteadyTime now)
{
    switch (action.step) {
    case ProbeStep::direct:
        pingDirectly(action, now);
        break;
    case ProbeStep::indirect:
        pingIndirectly(action, now);
        break;
    case ProbeStep::failed:
        if (const Member *const member = m_roster.find(action.target)) {
            const Suspicion suspicion{.id = member->id, .incarnation = member->incarnation, .revision = member->revision};
            handleMergeOutcome(m_roster.suspect(suspicion, now), action.target, UpdateSource::rumour);
            m_metrics.count("membership", "probe-failed");
        }
        break;
    }
}

void Gossip::pingDirectly(const ProbeAction &action, const SteadyTime now)
{
    GossipMessage ping = makeMessage(GossipPurpose::ping, now);
    ping.sequence = action.sequence;
    if (const std::optional<Suspicion> suspicion = suspicionOf(action.target)) {
        ping.suspicions.push_back(*suspicion);
    }
    sendTo(action.target, std::move(ping));
}

void Gossip::pingIndirectly(const ProbeAction &action, const SteadyTime now)
{
    const Member *const target = m_roster.find(action.target);
    if (target == nullptr) {
        return;
    }
    const Contact subject{.id = target->id, .endpoint = target->endpoint};
    for (const DaemonId &helper : chooseParticipants(internal::indirectHelpers, action.target)) {
        GossipMessage request = makeMessage(GossipPurpose::pingRequest, now);
        request.sequence = action.sequence;
        request.subject = subject;
        sendTo(helper, std::move(request));
    }
}

void Gossip::pingAbsent(const SteadyTime now)
{
    std::vector<Contact> absent;
    for (const DaemonId &id : m_roster.absent()) {
        absent.push_back({.id = id, .endpoint = m_roster.find(id)->endpoint});
    }
    for (const Contact &contact : m_contacts) {
        if (m_roster.find(contact.id) == nullptr) {
            absent.push_back(contact);
        }
    }
    const std::size_t count = m_roster.participants().empty() ? internal::joinTargets : 1;
    for (std::size_t sent = 0; sent < count && !absent.empty(); ++sent) {
        const std::size_t index = m_random.below(absent.size());
        GossipMessage ping = makeMessage(GossipPurpose::ping, now);
        ping.sequence = m_prober.nextSequence();
        if (const std::optional<Suspicion> suspicion = suspicionOf(absent[index].id)) {
            ping.suspicions.push_back(*suspicion);
        }
        m_effects.messages.push_back({.to = absent[index], .message = std::move(ping)});
        absent.erase(absent.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

void Gossip::checkIsolation(const SteadyTime now)
{
    // Counted only while no member is present, which is rare.
    const bool expectsMessages = !m_roster.participants().empty() || countExpected() > 0;
    if (const std::optional<IsolationChange> change = m_isolation.tick(expectsMessages, now)) {
        m_effects.isolation = change;
    }
}

void Gossip::pull(const SteadyTime now)
{
    if (m_statePull.isDue(now)) {
        for (const DaemonId &from : chooseParticipants(1, m_roster.self().id)) {
            m_statePull.begin(from, now);
        }
    }
    if (const std::optional<PullRequest> next = m_statePull.tick(now)) {
        GossipMessage request = makeMessage(GossipPurpose::pullRequest, now);
        request.page = next->page;
        request.digest = digest();
        sendTo(next->from, std::move(request));
    }
}

void Gossip::sendUpdates(const int targets, const SteadyTime now)
{
    m_nextSpread = now + internal::spreadInterval;
    for (const DaemonId &target : chooseParticipants(static_cast<std::size_t>(targets), m_roster.self().id)) {
        sendTo(target, makeMessage(GossipPurpose::news, now));
    }
}

void Gossip::queue(const UpdateSubject &subject)
{
    m_updates.add(subject, internal::sendsFor(m_roster.participants().size() + 1));
}

std::optional<Suspicion> Gossip::suspicionOf(const DaemonId &id) const
{
    const Member *const member = m_roster.find(id);
    // A member without an announced entry is suspect or gone by this daemon's failure detection, not by its own announcement.
    if (member == nullptr || m_roster.findAnnounced(id) != nullptr) {
        return std::nullopt;
    }
    return Suspicion{.id = id, .incarnation = member->incarnation, .revision = member->revision};
}

std::vector<DaemonId> Gossip::chooseParticipants(const std::size_t count, const DaemonId &except)
{
    const std::vector<DaemonId> &candidates = m_roster.participants();
    std::vector<DaemonId> chosen;
    // Random draws, limited in number: repeats are rare in a large fleet, and a small fleet is mostly covered.
    const std::size_t maxDraws = count * internal::drawsPerChoice;
    for (std::size_t draw = 0; draw < maxDraws && chosen.size() < count && !candidates.empty(); ++draw) {
        const DaemonId &candidate = candidates[m_random.below(candidates.size())];
        if (candidate != except && std::find(chosen.begin(), chosen.end(), candidate) == chosen.end()) {
            chosen.push_back(candidate);
        }
    }
    return chosen;
}

std::uint64_t Gossip::digest() const
{
    return m_roster.digest() + m_rumours.digest();
}

void Gossip::sendTo(const DaemonId &to, GossipMessage message)
{
    const Member *const member = m_roster.find(to);
    m_effects.messages.push_back({.to = {.id = to, .endpoint = member == nullptr ? std::string{} : member->endpoint}, .message = std::move(message)});
}

} // namespace egretlatch::membership
