#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <egretlatch/configuration/follower.hpp>
#include <egretlatch/configuration/poll_schedule.hpp>
#include <egretlatch/decision/configuration_roles.hpp>

using namespace egretlatch;
using namespace egretlatch::configuration;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds step{20};
constexpr std::chrono::milliseconds messageDelay{20};
// Time within which an accepted configuration is in force at all daemons that run and reach the store.
constexpr std::chrono::milliseconds applyLimit{3000};
// The same for daemons that have been in touch, with a store that has been sound, for the stability window.
constexpr std::chrono::milliseconds calmApplyLimit{2000};
constexpr std::chrono::milliseconds stabilityWindow{3000};

[[nodiscard]] QByteArray makeManifest(const std::uint64_t version)
{
    return QByteArray{R"({"services":[{"name":"roster","slots":)"} + QByteArray::number(static_cast<qulonglong>(version))
        + R"(,"connections":100,"kinds":[]}]})";
}

struct Message
{
    SteadyTime arrives;
    std::size_t from{};
    std::size_t to{};
    PeerPayload payload;
};

class Fleet;

/*! @brief Follower of one daemon with a feed that reads the store of the fleet while it is needed. */
class FleetDaemon final : public FollowerDelegate
{
public:
    FleetDaemon(Fleet &fleet, std::size_t index, const std::vector<membership::Member> &members);

    store::RequestId sendToPlatform(store::Request /*request*/) override
    {
        return {};
    }

    void send(const Peer &peer, PeerPayload message) override;
    [[nodiscard]] std::vector<Peer> peers() const override;

    [[nodiscard]] std::size_t countPeers() const override
    {
        return roster.participants().size();
    }

    [[nodiscard]] ReadDuty readDuty() override
    {
        return roles.own();
    }

    [[nodiscard]] ReadTurn readTurn() override
    {
        return roles.turn();
    }

    [[nodiscard]] std::vector<Peer> neighbours() override
    {
        return roles.neighbours();
    }

    [[nodiscard]] std::vector<Peer> readers() override
    {
        return roles.readers();
    }

    [[nodiscard]] std::vector<Peer> deputies() override
    {
        return roles.deputies();
    }

    void putInForce(const std::uint64_t version, const std::shared_ptr<const manifest::Manifest> & /*manifest*/, const DaemonId & /*source*/) override
    {
        CHECK(version > inForce);
        inForce = version;
    }

    void count(const std::string_view /*what*/) override
    {
    }

    void tick(SteadyTime now);

    Fleet &fleet;
    std::size_t index;
    SeededRandom random;
    membership::Roster roster;
    decision::ConfigurationRoles roles;
    Follower follower;
    std::uint64_t inForce{};
    bool isRunning{true};
    bool isRefusedByStore{};
    /*! @brief Daemons of different sides do not reach each other. */
    int side{};

private:
    struct Pending
    {
        PlannedCall planned;
        SteadyTime sentAt;
        bool isLost{};
    };

    void sendNext(SteadyTime now);
    void settle(SteadyTime now);
    void fail(SteadyTime now);
    [[nodiscard]] bool isDue(SteadyTime now) const;

    PollSchedule m_schedule;
    std::optional<Pending> m_pending;
    /*! @brief Newest version that the store returned. */
    std::uint64_t m_position{};
};

/*! @brief Daemons in six data centres, the messages between them, and a store. */
class Fleet
{
public:
    explicit Fleet(const std::size_t size)
    {
        std::vector<membership::Member> members;
        for (std::size_t index = 0; index < size; ++index) {
            membership::Member member;
            member.id = {std::to_string(index)};
            member.incarnation = {1};
            member.revision = 1;
            member.state = membership::MemberState::serving;
            member.endpoint = "tcp://" + std::to_string(index);
            member.dataCentre = std::to_string(index % dataCentres);
            members.push_back(member);
        }
        for (std::size_t index = 0; index < size; ++index) {
            daemons.push_back(std::make_unique<FleetDaemon>(*this, index, members));
        }
    }

    void run(const Duration span)
    {
        for (const SteadyTime end = now + span; now < end; now += step) {
            while (!messages.empty() && messages.front().arrives <= now) {
                const Message message = std::move(messages.front());
                messages.pop_front();
                deliver(message);
            }
            for (const auto &daemon : daemons) {
                if (daemon->isRunning) {
                    daemon->tick(now);
                }
            }
        }
    }

    void deliver(const Message &message)
    {
        FleetDaemon &to = *daemons[message.to];
        if (!to.isRunning || to.side != daemons[message.from]->side) {
            return;
        }
        const DaemonId sender{std::to_string(message.from)};
        if (const auto *const advert = std::get_if<Advert>(&message.payload)) {
            to.follower.handleAdvert(sender, *advert, now);
        } else if (const auto *const request = std::get_if<BodyRequest>(&message.payload)) {
            to.follower.handleBodyRequest(sender, *request);
        } else {
            to.follower.handleBodyReply(sender, std::get<BodyReply>(message.payload), now);
        }
    }

    [[nodiscard]] bool isInForceEverywhere() const
    {
        return std::all_of(daemons.begin(), daemons.end(), [this](const auto &daemon) {
            return !daemon->isRunning || daemon->inForce == version;
        });
    }

    [[nodiscard]] std::vector<FleetDaemon *> readers() const
    {
        std::vector<FleetDaemon *> found;
        for (const auto &daemon : daemons) {
            if (daemon->readDuty() == ReadDuty::reader) {
                found.push_back(daemon.get());
            }
        }
        return found;
    }

    // Accepts a configuration and tells after which time it is in force at all daemons that run.
    [[nodiscard]] Duration change()
    {
        ++version;
        const SteadyTime accepted = now;
        while (!isInForceEverywhere() && now - accepted < 10s) {
            run(step);
        }
        return now - accepted;
    }

    static constexpr std::size_t dataCentres = 6;
    SteadyTime now{1h};
    std::uint64_t version{1};
    bool isStoreDown{};
    /*! @brief The store answers nothing, and loses each call that it gets meanwhile. */
    bool isStoreSilent{};
    /*! @brief A store that falls silent also loses the calls that it holds. */
    bool isForgettingPolls{};
    int calls{};
    std::deque<Message> messages;
    std::vector<std::unique_ptr<FleetDaemon>> daemons;
};

FleetDaemon::FleetDaemon(Fleet &ofFleet, const std::size_t at, const std::vector<membership::Member> &members)
    : fleet{ofFleet}
    , index{at}
    , random{at + 1}
    , roster{members[at]}
    , roles{roster}
    , follower{*this,
               random,
               FollowerOptions{.hasPlatform = true,
                               .receivesManifests = true,
                               .advertInterval = 400ms,
                               .firstAdvertInterval = 50ms,
                               .fanout = 16,
                               .bodyTimeout = 150ms,
                               .endpoint = members[at].endpoint}}
    , m_schedule{random}
{
    for (const membership::Member &member : members) {
        roster.merge(member, membership::UpdateSource::rumour, {});
    }
}

void FleetDaemon::send(const Peer &peer, PeerPayload message)
{
    fleet.messages.push_back({.arrives = fleet.now + messageDelay, .from = index, .to = std::stoul(peer.id.value), .payload = std::move(message)});
}

std::vector<Peer> FleetDaemon::peers() const
{
    std::vector<Peer> peers;
    for (const DaemonId &id : roster.participants()) {
        peers.push_back({.id = id, .endpoint = "tcp://" + id.value});
    }
    return peers;
}

void FleetDaemon::tick(const SteadyTime now)
{
    follower.tick(now);
    sendNext(now);
    settle(now);
    if (const std::optional<SteadyTime> confirmedAt = m_schedule.confirmedAt(now)) {
        follower.noteConfirmed(*confirmedAt);
    }
}

void FleetDaemon::sendNext(const SteadyTime now)
{
    const BootTime bootNow{now.time_since_epoch()};
    const PollConditions conditions{.reason = follower.reasonToRead(now, bootNow), .turn = readTurn(), .newestAnswerAge = follower.proofAge(bootNow)};
    if (const std::optional<PlannedCall> planned = m_schedule.next(conditions, now)) {
        ++fleet.calls;
        m_pending = {.planned = *planned, .sentAt = now, .isLost = fleet.isStoreSilent};
    }
}

void FleetDaemon::settle(const SteadyTime now)
{
    if (!m_pending.has_value()) {
        return;
    }
    if (isRefusedByStore || fleet.isStoreDown) {
        fail(now);
        return;
    }
    m_pending->isLost = m_pending->isLost || (fleet.isStoreSilent && (fleet.isForgettingPolls || isDue(now)));
    if (m_pending->isLost) {
        if (now - m_pending->sentAt >= m_pending->planned.timeout) {
            fail(now);
        }
        return;
    }
    if (!isDue(now)) {
        return;
    }
    const BootTime sentAt{m_pending->sentAt.time_since_epoch()};
    const store::StoreTime storeNow{std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch())};
    const bool hasDocument = m_pending->planned.call == ReadCall::read || fleet.version > m_position;
    m_pending.reset();
    m_position = fleet.version;
    m_schedule.noteAnswer(storeNow, hasDocument, now);
    follower.noteStoreClock({.sentAt = sentAt, .now = storeNow});
    if (hasDocument) {
        follower.handleAccepted(fleet.version, makeManifest(fleet.version), now);
    }
    follower.noteProven(storeNow, now);
}

void FleetDaemon::fail(const SteadyTime now)
{
    m_pending.reset();
    m_schedule.noteFailure(now);
}

bool FleetDaemon::isDue(const SteadyTime now) const
{
    return m_pending->planned.call != ReadCall::longPoll || fleet.version > m_position || now - m_pending->sentAt >= m_pending->planned.wait;
}

constexpr std::size_t fleetSize = 195;

} // namespace

TEST_CASE("the store is called by few daemons of a large fleet")
{
    // Guards against a store that gets a call of each daemon with every configuration.
    Fleet fleet{fleetSize};
    fleet.run(5s);
    CHECK(fleet.isInForceEverywhere());
    CHECK(fleet.calls <= 80);
    fleet.calls = 0;
    for (int change = 0; change < 4; ++change) {
        CHECK(fleet.change() <= 500ms);
        fleet.run(5s);
    }
    CHECK(fleet.calls <= 4 * 4 * static_cast<int>(fleet.readers().size()));
}

TEST_CASE("a configuration is in force in time although all readers are killed right before it is accepted")
{
    Fleet fleet{fleetSize};
    fleet.run(5s);
    for (FleetDaemon *const reader : fleet.readers()) {
        reader->isRunning = false;
    }
    // Membership has not noticed yet; the deputies see the age of the confirmations grow.
    CHECK(fleet.change() <= applyLimit);
}

TEST_CASE("a configuration is in force in time although the store refuses all readers and half of the others")
{
    Fleet fleet{fleetSize};
    fleet.run(5s);
    for (const auto &daemon : fleet.daemons) {
        daemon->isRefusedByStore = daemon->readDuty() == ReadDuty::reader || daemon->index % 2 == 0;
    }
    CHECK(fleet.change() <= applyLimit);
}

TEST_CASE("a configuration is in force in time in both parts of a fleet that do not reach each other")
{
    // The parts are data centres, and one part has just lost sight of the other.
    Fleet fleet{fleetSize};
    fleet.run(5s);
    for (const auto &daemon : fleet.daemons) {
        daemon->side = daemon->index % Fleet::dataCentres < 2 ? 1 : 0;
    }
    CHECK(fleet.change() <= applyLimit);
}

TEST_CASE("a single daemon that reaches the store but no other daemon gets the configuration in time after it was cut off")
{
    Fleet fleet{fleetSize};
    fleet.run(5s);
    for (const auto &daemon : fleet.daemons) {
        if (daemon->readDuty() == ReadDuty::none) {
            daemon->side = 1;
            break;
        }
    }
    // So far the confirmations that it received still count as recent.
    fleet.run(3s);
    CHECK(fleet.change() <= applyLimit);
}

TEST_CASE("a store that is away is called by few daemons, and its return is used at once")
{
    // Guards against a fleet that all together calls a store that refuses.
    Fleet fleet{fleetSize};
    fleet.run(5s);
    fleet.isStoreDown = true;
    fleet.calls = 0;
    fleet.run(10s);
    MESSAGE("calls in ten seconds without the store: ", fleet.calls);
    CHECK(fleet.calls <= 2 * static_cast<int>(fleetSize));
    fleet.isStoreDown = false;
    CHECK(fleet.change() <= 1500ms);
}

TEST_CASE("a configuration is in force in time after a silence of the store at any moment and of any length")
{
    // Guards against polls that a silent store lost, and that all daemons wait for while it answers again.
    constexpr std::size_t smallFleet = 16;
    const std::vector<std::chrono::milliseconds> lengths{400ms, 1s, 3s, 8s, 17s};
    for (const bool isForgettingPolls : {false, true}) {
        for (const std::chrono::milliseconds length : lengths) {
            for (std::chrono::milliseconds begin{0}; begin < 16s; begin += 700ms) {
                Fleet fleet{smallFleet};
                fleet.isForgettingPolls = isForgettingPolls;
                fleet.run(5s);
                static_cast<void>(fleet.change());
                fleet.run(begin);
                fleet.isStoreSilent = true;
                fleet.run(length);
                fleet.isStoreSilent = false;
                fleet.run(stabilityWindow);
                CAPTURE(isForgettingPolls);
                CAPTURE(length.count());
                CAPTURE(begin.count());
                CHECK(fleet.change() <= calmApplyLimit);
            }
        }
    }
}

TEST_CASE("a configuration is in force in time after two silences of the store, one shortly after the other")
{
    constexpr std::size_t smallFleet = 16;
    for (std::chrono::milliseconds pause{200}; pause < 6s; pause += 400ms) {
        for (std::chrono::milliseconds begin{0}; begin < 16s; begin += 1500ms) {
            Fleet fleet{smallFleet};
            fleet.isForgettingPolls = true;
            fleet.run(5s);
            static_cast<void>(fleet.change());
            fleet.run(begin);
            for (int silence = 0; silence < 2; ++silence) {
                fleet.isStoreSilent = true;
                fleet.run(1s);
                fleet.isStoreSilent = false;
                fleet.run(silence == 0 ? pause : stabilityWindow);
            }
            CAPTURE(pause.count());
            CAPTURE(begin.count());
            CHECK(fleet.change() <= calmApplyLimit);
        }
    }
}

TEST_CASE("a configuration is in force in time after a silence of the store in fleets of any size")
{
    for (const std::size_t size : {std::size_t{1}, std::size_t{2}, std::size_t{5}, fleetSize}) {
        for (std::chrono::milliseconds begin{100}; begin < 15s; begin += 3700ms) {
            Fleet fleet{size};
            fleet.isForgettingPolls = true;
            fleet.run(5s);
            static_cast<void>(fleet.change());
            fleet.run(begin);
            fleet.isStoreSilent = true;
            fleet.run(1s);
            fleet.isStoreSilent = false;
            fleet.run(stabilityWindow);
            CAPTURE(size);
            CAPTURE(begin.count());
            CHECK(fleet.change() <= calmApplyLimit);
        }
    }
}

TEST_CASE("readers whose polls end in turn call the store about as often as readers whose polls end together")
{
    // Twelve readers with a poll of fourteen seconds each.
    constexpr int callsInStep = 12 * 60 / 14;
    for (const std::size_t size : {std::size_t{16}, fleetSize}) {
        Fleet fleet{size};
        fleet.run(20s);
        fleet.calls = 0;
        fleet.run(60s);
        MESSAGE("calls in a minute: ", fleet.calls);
        CHECK(fleet.calls <= callsInStep * 11 / 10);
    }
}
