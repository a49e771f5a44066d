#include <egretlatch/decision/core.hpp>

#include <egretlatch/admission/open_entry.hpp>
#include <egretlatch/admission/static_gate.hpp>
#include <egretlatch/routing/least_loaded_router.hpp>

namespace egretlatch::decision
{

namespace internal
{

constexpr std::size_t defaultQueueCapacity = 1000;
// A daemon whose connection to the store is silent learns of a configuration only from other daemons, and has two seconds to
// do so. With this fanout, in a fleet of up to 17 daemons each one that has the configuration advertises it to all others at
// once; with this interval, a daemon receives five adverts per second after that instead of two.
constexpr std::size_t fedFanout = 16;
constexpr std::chrono::milliseconds fedAdvertInterval{400};
// A daemon that starts serves nothing before it has a configuration, and gets it by the answer to its adverts.
constexpr std::chrono::milliseconds fedFirstAdvertInterval{50};
// A peer answers within milliseconds. With a timeout of 500 ms, and a turn for the store, which is not queried here, one
// lost answer cost 0.7 s of the two seconds.
constexpr std::chrono::milliseconds fedBodyTimeout{150};
// Part of the greatest age at which keys count from which a proof is renewed; the rest is time to reach the store by turns.
constexpr double staleShareOfProofAge = 0.65;

} // namespace internal

CoreBuilder::CoreBuilder(const Clock &clock, RandomSource &random, account::MetricsSink &metrics)
    : m_clock{clock}
    , m_random{random}
    , m_metrics{metrics}
{
}

CoreBuilder &CoreBuilder::setSelf(membership::Member self)
{
    m_self = std::move(self);
    return *this;
}

CoreBuilder &CoreBuilder::addContact(membership::Contact contact)
{
    m_contacts.push_back(std::move(contact));
    return *this;
}

CoreBuilder &CoreBuilder::setRouter(std::unique_ptr<routing::Router> router)
{
    m_router = std::move(router);
    return *this;
}

CoreBuilder &CoreBuilder::setEntryControl(std::unique_ptr<admission::EntryControl> entryControl)
{
    m_entryControl = std::move(entryControl);
    return *this;
}

CoreBuilder &CoreBuilder::setGate(std::unique_ptr<admission::Gate> gate)
{
    m_gate = std::move(gate);
    return *this;
}

CoreBuilder &CoreBuilder::followPlatform()
{
    m_followsPlatform = true;
    return *this;
}

CoreBuilder &CoreBuilder::setConfigurationFeed()
{
    m_receivesManifests = true;
    return *this;
}

CoreBuilder &CoreBuilder::keepDepartures(const bool isFirstStart)
{
    m_isFirstStart = isFirstStart;
    return *this;
}

CoreBuilder &CoreBuilder::keepSuspects(const bool isFirstStart)
{
    m_isFirstStartOfSuspects = isFirstStart;
    return *this;
}

CoreBuilder &CoreBuilder::setAccountRules(const AccountRules &rules)
{
    m_accountRules = rules;
    return *this;
}

CoreBuilder &CoreBuilder::setEntryRules(const EntryRules &rules)
{
    m_entryRules = rules;
    return *this;
}

CoreBuilder &CoreBuilder::setDrainTimes(const DrainTimes &times)
{
    m_drainTimes = times;
    return *this;
}

CoreBuilder &CoreBuilder::setUnownedKeys(const retry::UnownedKeys unownedKeys)
{
    m_unownedKeys = unownedKeys;
    return *this;
}

CoreBuilder &CoreBuilder::setDelivery(const Delivery delivery)
{
    m_delivery = delivery;
    return *this;
}

CoreBuilder &CoreBuilder::allowIncarnationRaise()
{
    m_mayRaise = true;
    return *this;
}

CoreBuilder &CoreBuilder::setKeyGrants(const retry::GrantTimes times)
{
    m_grantTimes = times;
    return *this;
}

CoreBuilder &CoreBuilder::setKeyLedgerLimits(const retry::KeyLedgerLimits limits)
{
    m_ledgerLimits = limits;
    return *this;
}

std::unique_ptr<Core> CoreBuilder::build()
{
    if (m_router == nullptr) {
        m_router = std::make_unique<routing::LeastLoadedRouter>(m_random);
    }
    if (m_entryControl == nullptr) {
        m_entryControl = std::make_unique<admission::OpenEntry>();
    }
    if (m_gate == nullptr) {
        m_gate = std::make_unique<admission::StaticGate>(1, internal::defaultQueueCapacity);
    }
    std::unique_ptr<Core> core{new Core};
    core->m_context.reset(new CoreContext{
        .clock = m_clock,
        .random = m_random,
        .metrics = m_metrics,
        .uuidGenerator = UuidGenerator{m_random},
        .self = m_self.id,
        .incarnation = m_self.incarnation,
        .roster = membership::Roster{m_self},
        .router = std::move(m_router),
        .entryControl = std::move(m_entryControl),
        .suspects = {},
        .manifest = nullptr,
        .manifestVersion = 0,
        .unownedKeys = m_unownedKeys,
        .delivery = m_delivery,
        .startedAt = m_clock.steadyNow(),
        .actions = {},
        .lastPlatformRequest = {},
    });
    if (m_mayRaise) {
        core->m_context->roster.allowIncarnationRaise();
    }
    core->m_serving = std::make_unique<ServingHandler>(*core->m_context, std::move(m_gate));
    std::unique_ptr<retry::ShardGrants> grants;
    if (m_grantTimes.has_value()) {
        grants = std::make_unique<retry::ShardGrants>(retry::KeyOwner{.daemon = m_self.id, .incarnation = m_self.incarnation}, m_random, *m_grantTimes);
    }
    core->m_entry = std::make_unique<EntryHandler>(*core->m_context, *core->m_serving, m_ledgerLimits, std::move(grants));
    core->m_entry->setRules(m_entryRules);
    core->m_drainTimes = m_drainTimes;
    std::vector<configuration::Peer> peers;
    for (const membership::Contact &contact : m_contacts) {
        peers.push_back({.id = contact.id, .endpoint = contact.endpoint});
    }
    core->m_configurationDelegate = std::make_unique<ConfigurationDelegate>(*core->m_context, std::move(peers));
    configuration::FollowerOptions options;
    options.hasPlatform = m_followsPlatform;
    options.receivesManifests = m_receivesManifests;
    if (m_receivesManifests) {
        options.fanout = internal::fedFanout;
        options.advertInterval = internal::fedAdvertInterval;
        options.firstAdvertInterval = internal::fedFirstAdvertInterval;
        options.bodyTimeout = internal::fedBodyTimeout;
    }
    if (m_accountRules.maxAgeForKeys.has_value()) {
        options.maxProofAge = std::chrono::duration_cast<Duration>(*m_accountRules.maxAgeForKeys * internal::staleShareOfProofAge);
    }
    options.endpoint = m_self.endpoint;
    core->m_configuration = std::make_unique<configuration::Follower>(*core->m_configurationDelegate, m_random, options);
    core->m_accounts = std::make_unique<AccountGate>(*core->m_context, *core->m_serving, *core->m_configuration, m_accountRules);
    core->m_entry->setAccounts(*core->m_accounts);
    core->m_gossipRandom = std::make_unique<SeededRandom>(m_random.next());
    if (m_followsPlatform) {
        core->m_contactBook =
            std::make_unique<membership::ContactBook>(membership::Contact{.id = m_self.id, .endpoint = m_self.endpoint}, *core->m_gossipRandom);
    }
    if (m_isFirstStart.has_value()) {
        core->m_departureRecord = std::make_unique<membership::DepartureRecord>(m_self.id, *m_isFirstStart, *core->m_gossipRandom);
    }
    if (m_isFirstStartOfSuspects.has_value()) {
        core->m_suspectRecord = std::make_unique<SuspectRecord>(*m_isFirstStartOfSuspects, *core->m_gossipRandom);
    }
    core->m_gossip = std::make_unique<membership::Gossip>(core->m_context->roster, *core->m_gossipRandom, m_metrics, std::move(m_contacts));
    return core;
}

} // namespace egretlatch::decision
