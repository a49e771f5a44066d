#include <egretlatch/membership/prober.hpp>

#include <algorithm>

namespace egretlatch::membership
{

namespace internal
{

constexpr std::chrono::milliseconds probeInterval{1000};
// If one lost message could fail a probe, the number of suspicions would grow with the fleet, and each is sent to every daemon.
constexpr std::chrono::milliseconds repeatInterval{250};

} // namespace internal

Prober::Prober(RandomSource &random)
    : m_random{random}
{
}

std::vector<ProbeAction> Prober::tick(const std::vector<DaemonId> &participants, const SteadyTime now)
{
    std::vector<ProbeAction> actions;
    if (m_probe.has_value() && now >= m_probe->nextRepeat) {
        m_probe->nextRepeat = now + internal::repeatInterval;
        if (!m_probe->isUnreachable) {
            actions.push_back({.step = ProbeStep::direct, .target = m_probe->target, .sequence = m_probe->sequence});
        }
        actions.push_back({.step = ProbeStep::indirect, .target = m_probe->target, .sequence = m_probe->sequence});
    }
    if (!m_nextProbe.has_value()) {
        // Random offset, so that daemons that start together do not probe in lockstep.
        m_nextProbe = now + std::chrono::duration_cast<Duration>(internal::probeInterval * m_random.fraction());
    }
    if (now < *m_nextProbe) {
        return actions;
    }
    m_nextProbe = now + internal::probeInterval;
    actions.clear();
    if (m_probe.has_value()) {
        actions.push_back({.step = ProbeStep::failed, .target = m_probe->target, .sequence = m_probe->sequence});
        m_probe.reset();
    }
    if (const std::optional<DaemonId> target = chooseTarget(participants)) {
        m_probe = Probe{.target = *target, .sequence = nextSequence(), .nextRepeat = now + internal::repeatInterval};
        actions.push_back({.step = ProbeStep::direct, .target = *target, .sequence = m_probe->sequence});
    }
    return actions;
}

void Prober::handleAck(const std::uint64_t sequence)
{
    if (m_probe.has_value() && m_probe->sequence == sequence) {
        m_probe.reset();
    }
}

void Prober::noteUnreachable(const DaemonId &target)
{
    if (m_probe.has_value() && m_probe->target == target) {
        m_probe->nextRepeat = m_probe->isUnreachable ? m_probe->nextRepeat : SteadyTime{};
        m_probe->isUnreachable = true;
        return;
    }
    // A lost connection is the earliest sign of a failure; in its regular place the target would be probed much later.
    if (m_round.empty() || m_round.back() != target) {
        m_round.push_back(target);
    }
}

void Prober::reset()
{
    m_probe.reset();
}

std::optional<DaemonId> Prober::chooseTarget(const std::vector<DaemonId> &participants)
{
    addNewcomers(participants);
    while (!m_round.empty()) {
        const DaemonId target = m_round.back();
        m_round.pop_back();
        if (std::binary_search(participants.begin(), participants.end(), target)) {
            return target;
        }
    }
    m_inRound.clear();
    addNewcomers(participants);
    if (m_round.empty()) {
        return std::nullopt;
    }
    const DaemonId target = m_round.back();
    m_round.pop_back();
    return target;
}

void Prober::addNewcomers(const std::vector<DaemonId> &participants)
{
    // Each new member gets a random place in the rest of the round. If it had to wait for the next round, its failure could
    // go undetected until then: with 750 members, a quarter of an hour on each daemon.
    for (const DaemonId &participant : participants) {
        if (m_inRound.insert(participant).second) {
            m_round.push_back(participant);
            std::swap(m_round.back(), m_round[m_random.below(m_round.size())]);
        }
    }
}

} // namespace egretlatch::membership
