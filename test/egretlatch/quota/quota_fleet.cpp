#include "quota_fleet.hpp"

#include <algorithm>

#include <fmt/format.h>

using namespace egretlatch;

namespace quota_test
{

namespace
{

constexpr const char *account = "a";
constexpr std::chrono::milliseconds step{10};
// Times until a restarted daemon knows the others, and until daemons that are cut off count as gone, as in the fleet.
constexpr std::chrono::milliseconds meetingTime{400};
constexpr std::chrono::milliseconds detectionTime{1500};

} // namespace

QuotaFleet::QuotaFleet(const Options &options)
    : m_options{options}
    , m_random{options.seed}
{
    m_daemons.resize(options.daemons);
    for (std::size_t index = 0; index < options.daemons; ++index) {
        m_daemons[index].id = {fmt::format("daemon-{:03}", index)};
        reset(m_daemons[index]);
        m_daemons[index].meetsAt = m_now;
    }
    updateViews();
}

void QuotaFleet::reset(Daemon &daemon)
{
    daemon.ledger = std::make_unique<quota::Ledger>();
    daemon.coordinator = std::make_unique<quota::Coordinator>(m_options.rules);
    daemon.view = {};
    daemon.lastReport = 0;
    ++daemon.incarnation;
    daemon.meetsAt = m_now + meetingTime;
}

bool QuotaFleet::request(const std::size_t index)
{
    Daemon &daemon = m_daemons[index];
    const quota::FleetShare share{.limit = m_options.limit, .daemons = daemon.view.isSettled(m_now) ? daemon.view.largestSize(m_now) : 0};
    const bool isAdmitted = daemon.ledger->admit(account, share, m_now).isAdmitted;
    if (isAdmitted) {
        m_admitted.push_back(m_now);
    }
    if (auto use = daemon.ledger->takeReport(account, m_now)) {
        sendReport(index, std::move(*use));
    }
    return isAdmitted;
}

void QuotaFleet::sendReport(const std::size_t from, quota::AccountUse use)
{
    Daemon &daemon = m_daemons[from];
    const std::size_t to = indexOf(daemon.view.coordinatorOf(account, m_now));
    const std::uint64_t sequence = ++daemon.lastReport;
    daemon.ledger->noteSent(account, sequence);
    Message message{.arrivesAt = {},
                    .from = from,
                    .to = to,
                    .incarnation = daemon.incarnation,
                    .report = {.sequence = sequence, .uses = {std::move(use)}},
                    .reply = {},
                    .isReply = false};
    send(std::move(message));
}

void QuotaFleet::send(Message message)
{
    ++m_messages;
    if (message.from == message.to) {
        deliver(message);
        return;
    }
    const double draw = std::uniform_real_distribution<double>{}(m_random);
    if (!areConnected(message.from, message.to) || draw < m_options.loss) {
        return;
    }
    message.arrivesAt = m_now + m_options.delay;
    m_inFlight.push_back(std::move(message));
}

void QuotaFleet::deliver(const Message &message)
{
    Daemon &receiver = m_daemons[message.to];
    if (!message.isReply) {
        handleReport(message);
        return;
    }
    // A reply to an earlier incarnation does not reach the present one; a notice is for any.
    if (message.reply.sequence != 0 && message.incarnation != receiver.incarnation) {
        return;
    }
    for (const quota::AccountGrant &grant : message.reply.grants) {
        receiver.ledger->handle(grant, message.reply.sequence, m_now);
    }
}

void QuotaFleet::handleReport(const Message &message)
{
    Daemon &coordinator = m_daemons[message.to];
    if (!coordinator.view.isSettled(m_now)) {
        return;
    }
    const double share = coordinator.view.share(m_now);
    const quota::Limit limit{.ratePerSecond = m_options.limit.ratePerSecond * share, .burst = m_options.limit.burst * share};
    const quota::AccountGrant grant = coordinator.coordinator->handle(m_daemons[message.from].id, message.report.uses.front(), limit, m_now);
    Message reply{.arrivesAt = {},
                  .from = message.to,
                  .to = message.from,
                  .incarnation = message.incarnation,
                  .report = {},
                  .reply = {.sequence = message.report.sequence, .grants = {grant}},
                  .isReply = true};
    if (coordinator.coordinator->takeNotice(account, m_now)) {
        for (const DaemonId &member : coordinator.view.members()) {
            Message notice = reply;
            notice.to = indexOf(member);
            notice.reply = {.sequence = 0, .grants = {{.account = account, .credit = 0, .allowance = 0, .isShort = true, .roomIn = grant.roomIn}}};
            send(std::move(notice));
        }
    }
    send(std::move(reply));
}

void QuotaFleet::advance(const Duration span)
{
    const SteadyTime end = m_now + span;
    while (m_now < end) {
        m_now += std::min<Duration>(step, end - m_now);
        updateViews();
        std::deque<Message> due;
        std::deque<Message> later;
        for (Message &message : m_inFlight) {
            (message.arrivesAt <= m_now && !isPaused(message.to) ? due : later).push_back(std::move(message));
        }
        m_inFlight = std::move(later);
        for (const Message &message : due) {
            deliver(message);
        }
        for (std::size_t index = 0; index < m_daemons.size(); ++index) {
            if (isPaused(index)) {
                continue;
            }
            for (quota::AccountUse &use : m_daemons[index].ledger->takeReports(m_now)) {
                sendReport(index, std::move(use));
            }
        }
    }
}

void QuotaFleet::updateViews()
{
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        std::vector<DaemonId> members;
        for (std::size_t other = 0; other < m_daemons.size(); ++other) {
            const bool isReached = areConnected(index, other) || m_now < m_partitionSeenAt;
            const bool hasMet = m_now >= m_daemons[index].meetsAt && m_now >= m_daemons[other].meetsAt;
            if (index == other || (isReached && hasMet)) {
                members.push_back(m_daemons[other].id);
            }
        }
        if (members != m_daemons[index].view.members()) {
            m_daemons[index].view.setMembers(std::move(members), m_now);
            m_daemons[index].ledger->handleFleetChanged(m_now);
        }
    }
}

void QuotaFleet::partition(const std::size_t size)
{
    m_partition = size;
    m_partitionSeenAt = m_now + detectionTime;
}

void QuotaFleet::restart(const std::size_t daemon)
{
    reset(m_daemons[daemon]);
    std::erase_if(m_inFlight, [daemon](const Message &message) {
        return message.to == daemon;
    });
    updateViews();
}

void QuotaFleet::pause(const std::size_t daemon, const Duration span)
{
    m_daemons[daemon].pausedUntil = m_now + span;
}

bool QuotaFleet::areConnected(const std::size_t left, const std::size_t right) const
{
    return m_partition == 0 || (left < m_partition) == (right < m_partition);
}

std::size_t QuotaFleet::indexOf(const DaemonId &id) const
{
    const auto found = std::find_if(m_daemons.begin(), m_daemons.end(), [&id](const Daemon &daemon) {
        return daemon.id == id;
    });
    return static_cast<std::size_t>(found - m_daemons.begin());
}

std::size_t QuotaFleet::largestWindow() const
{
    std::size_t largest = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < m_admitted.size(); ++last) {
        while (m_admitted[last] - m_admitted[first] >= m_options.rules.window) {
            ++first;
        }
        largest = std::max(largest, last - first + 1);
    }
    return largest;
}

} // namespace quota_test
