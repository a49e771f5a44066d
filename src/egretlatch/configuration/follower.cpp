#include <egretlatch/configuration/follower.hpp>

#include <algorithm>
#include <set>

#include <egretlatch/core/content_hash.hpp>

namespace egretlatch::configuration
{

namespace internal
{

constexpr std::chrono::milliseconds firstRetry{200};
constexpr std::chrono::seconds maxFetchBackoff{4};
constexpr std::size_t maxSources = 8;
// Peers that receive an advert in each interval, so that those that missed the first one after a change get it as well.
constexpr std::size_t steadyFanout = 2;

[[nodiscard]] static Duration jittered(const Duration span, RandomSource &random)
{
    const Duration half = span / 2;
    return half + random.below(span + Duration{1});
}

} // namespace internal

Follower::Follower(FollowerDelegate &delegate, RandomSource &random, FollowerOptions options)
    : m_delegate{delegate}
    , m_random{random}
    , m_options{std::move(options)}
    , m_pollBackoff{internal::firstRetry, m_options.maxPollInterval}
    , m_fetchBackoff{internal::firstRetry, internal::maxFetchBackoff}
    , m_confirmation{random}
{
}

void Follower::tick(const SteadyTime now)
{
    if (!m_options.hasPlatform) {
        return;
    }
    if (!m_options.receivesManifests && now >= m_nextPoll && !m_headRequest.has_value()) {
        poll(now);
    }
    advertiseIfDue(now);
    if (m_fetchDue.has_value() && now >= *m_fetchDue) {
        m_fetchDue.reset();
        fetch(now);
    }
}

void Follower::handleAdvert(const DaemonId &sender, const Advert &advert, const SteadyTime now)
{
    if (!m_options.hasPlatform) {
        return;
    }
    m_fleet[sender] = {.version = advert.version, .receivedAt = now};
    noteConfirmationOf(advert, now);
    const Peer peer{.id = sender, .endpoint = advert.endpoint};
    if (advert.version > m_inForce.version) {
        raiseTarget(advert.version, advert.hash, &peer, now);
        return;
    }
    if (advert.version < m_inForce.version) {
        // A lagging peer gets a reply at once: a daemon that starts while the platform is down has no other source.
        m_delegate.send(peer, this->advert(now));
        return;
    }
    if (advert.hash != m_inForce.hash) {
        m_delegate.count("same-version-other-hash");
    }
}

void Follower::handleAccepted(const std::uint64_t version, const QByteArray &manifest, const SteadyTime now)
{
    if (version <= m_inForce.version || version < m_target.version) {
        return;
    }
    m_target = {.version = version, .hash = contentHash(manifest)};
    m_sources.clear();
    m_isTargetUnusable = false;
    applyManifest(manifest, {}, now);
}

void Follower::noteConfirmed(const SteadyTime at)
{
    m_confirmation.note(at);
}

ReadReason Follower::reasonToRead(const SteadyTime now, const BootTime bootNow)
{
    return m_confirmation.reasonToRead(m_delegate.readDuty(), m_delegate.countPeers() + 1, isProofStale(bootNow), now);
}

bool Follower::isProofStale(const BootTime bootNow) const
{
    if (!m_options.maxProofAge.has_value() || !m_hasAccounts) {
        return false;
    }
    const std::optional<Duration> age = m_proof.age(bootNow);
    return !age.has_value() || *age > *m_options.maxProofAge;
}

void Follower::noteProven(const store::StoreTime at, const SteadyTime now)
{
    if (isBehind()) {
        return;
    }
    m_proof.note(at);
    // Without this answer, the other readers would take their own polls for lost and check.
    for (const Peer &reader : m_delegate.readers()) {
        m_delegate.send(reader, advert(now));
    }
    if (!m_options.maxProofAge.has_value() || !m_hasAccounts) {
        return;
    }
    // Proofs age fast, so each reaches many daemons without waiting for the next advert.
    std::vector<Peer> neighbours = m_delegate.neighbours();
    const std::size_t count = neighbours.size();
    advertise(std::move(neighbours), count, now);
}

void Follower::noteConfirmationOf(const Advert &advert, const SteadyTime now)
{
    m_confirmation.noteHeard(now);
    if (advert.confirmedAge.has_value()) {
        m_confirmation.note(now - *advert.confirmedAge);
    }
    // A proof holds for the version of its sender, and so for each newer one.
    if (advert.provenAt.has_value() && advert.version <= m_inForce.version) {
        m_proof.note(*advert.provenAt);
    }
}

void Follower::handleBodyRequest(const DaemonId &sender, const BodyRequest &request)
{
    const bool isHeld = m_inForce.version > 0 && request.hash == m_inForce.hash;
    m_delegate.send({.id = sender, .endpoint = request.endpoint}, BodyReply{.hash = request.hash, .manifest = isHeld ? m_manifest : QByteArray{}});
}

void Follower::handleBodyReply(const DaemonId &sender, const BodyReply &reply, const SteadyTime now)
{
    if (!isBehind() || reply.hash != m_target.hash) {
        return;
    }
    if (reply.manifest.isEmpty()) {
        fetch(now);
        return;
    }
    applyManifest(reply.manifest, sender, now);
}

bool Follower::handleOutcome(const store::RequestId id, const store::Outcome &outcome, const SteadyTime now)
{
    if (m_headRequest == id) {
        m_headRequest.reset();
        handleHeadOutcome(outcome, now);
        return true;
    }
    if (m_objectRequest == id) {
        m_objectRequest.reset();
        handleObjectOutcome(outcome, now);
        return true;
    }
    return false;
}

void Follower::raiseTarget(const std::uint64_t version, const std::string &hash, const Peer *const source, const SteadyTime now)
{
    if (version <= m_inForce.version || version < m_target.version) {
        return;
    }
    const bool isSame = version == m_target.version && hash == m_target.hash;
    if (version == m_target.version && !isSame && source != nullptr) {
        m_delegate.count("same-version-other-hash");
        return;
    }
    if (!isSame) {
        m_target = {.version = version, .hash = hash};
        m_sources.clear();
        m_isTargetUnusable = false;
        m_fetchDue.reset();
        m_fetchBackoff.reset();
    }
    const bool isNewSource = source != nullptr && std::find(m_sources.begin(), m_sources.end(), *source) == m_sources.end();
    if (isNewSource && m_sources.size() < internal::maxSources) {
        m_sources.push_back(*source);
    }
    // The first peer that can supply the manifest is asked at once, even if a request to the store is pending: the store may
    // hang.
    const bool isFirstSource = isNewSource && m_sources.size() == 1;
    if (!isSame || isFirstSource) {
        m_objectRequest.reset();
        m_wasPeerAskedLast = false;
        fetch(now);
    }
}

void Follower::fetch(const SteadyTime now)
{
    if (!isBehind() || m_isTargetUnusable || m_objectRequest.has_value()) {
        return;
    }
    // Alternates between peers and the store, since either may be unreachable for long. Where the caller supplies manifests by
    // handleAccepted(), the store is skipped, and another peer is asked as soon as one has not answered in time.
    const bool isTurnOfStore = m_wasPeerAskedLast && !m_options.receivesManifests;
    if (m_sources.empty() || isTurnOfStore) {
        m_wasPeerAskedLast = false;
        if (m_options.receivesManifests) {
            scheduleFetchRetry(now);
            return;
        }
        fetchFromStore();
        return;
    }
    m_wasPeerAskedLast = true;
    const Peer &source = m_sources[m_random.below(m_sources.size())];
    m_fetchDue = now + m_options.bodyTimeout;
    m_delegate.send(source, BodyRequest{.hash = m_target.hash, .endpoint = m_options.endpoint});
}

void Follower::fetchFromStore()
{
    m_objectRequest = m_delegate.sendToPlatform(store::ObjectGet{.name = objectName(m_target.hash)});
}

void Follower::scheduleFetchRetry(const SteadyTime now)
{
    m_fetchDue = now + m_fetchBackoff.next(m_random);
}

void Follower::applyManifest(const QByteArray &manifest, const DaemonId &source, const SteadyTime now)
{
    if (!isBehind()) {
        return;
    }
    // Bytes from a peer or the store may be truncated, stale or forged; only those with the hash in the head row are accepted.
    if (contentHash(manifest) != m_target.hash) {
        m_delegate.count("hash-mismatch");
        scheduleFetchRetry(now);
        return;
    }
    m_fetchDue.reset();
    const tl::expected<manifest::ParsedManifest, settings::Problems> parsed = manifest::parseManifest(manifest);
    if (!parsed.has_value()) {
        // The manifest was accepted by a newer version of the program. The current one stays in force, and status shows the lag.
        m_isTargetUnusable = true;
        m_delegate.count("manifest-not-understood");
        return;
    }
    m_inForce = m_target;
    m_manifest = manifest;
    m_hasAccounts = !parsed->manifest->accounts().empty();
    m_sources.clear();
    m_delegate.putInForce(m_inForce.version, parsed->manifest, source);
    advertise(m_delegate.peers(), m_options.fanout, now);
}

void Follower::handleHeadOutcome(const store::Outcome &outcome, const SteadyTime now)
{
    if (!outcome.has_value()) {
        m_nextPoll = now + m_pollBackoff.next(m_random);
        return;
    }
    m_pollBackoff.reset();
    schedulePoll(now);
    const auto *const reply = std::get_if<store::RowsReply>(&*outcome);
    if (reply == nullptr || reply->rows.empty()) {
        return;
    }
    const std::optional<Head> head = decodeHead(reply->rows.front().value);
    if (!head.has_value()) {
        m_delegate.count("head-not-understood");
        return;
    }
    raiseTarget(head->version, head->hash, nullptr, now);
}

void Follower::handleObjectOutcome(const store::Outcome &outcome, const SteadyTime now)
{
    const auto *const object = outcome.has_value() ? std::get_if<store::ObjectReply>(&*outcome) : nullptr;
    if (object == nullptr) {
        scheduleFetchRetry(now);
        return;
    }
    applyManifest(object->bytes, {}, now);
}

void Follower::poll(const SteadyTime now)
{
    schedulePoll(now);
    m_headRequest = m_delegate.sendToPlatform(store::TableRead{.key = headKey});
}

void Follower::schedulePoll(const SteadyTime now)
{
    const double seconds = static_cast<double>(m_delegate.peers().size() + 1) / m_options.fleetPollsPerSecond;
    const auto share = std::chrono::duration_cast<Duration>(std::chrono::duration<double>{seconds});
    m_nextPoll = now + internal::jittered(std::clamp(share, m_options.minPollInterval, m_options.maxPollInterval), m_random);
}

void Follower::advertiseIfDue(const SteadyTime now)
{
    if (now < m_nextAdvert) {
        return;
    }
    const bool hasConfiguration = m_inForce.version > 0;
    m_nextAdvert = now + internal::jittered(hasConfiguration ? m_options.advertInterval : m_options.firstAdvertInterval, m_random);
    if (m_fleet.size() > m_delegate.countPeers()) {
        removeGonePeers(m_delegate.peers());
    }
    advertise(m_delegate.neighbours(), internal::steadyFanout, now);
    if (m_options.receivesManifests) {
        for (const Peer &deputy : m_delegate.deputies()) {
            m_delegate.send(deputy, advert(now));
        }
    }
}

void Follower::advertise(std::vector<Peer> peers, const std::size_t count, const SteadyTime now)
{
    for (std::size_t sent = 0; sent < count && !peers.empty(); ++sent) {
        const std::size_t chosen = m_random.below(peers.size());
        m_delegate.send(peers[chosen], advert(now));
        peers[chosen] = peers.back();
        peers.pop_back();
    }
}

void Follower::removeGonePeers(const std::vector<Peer> &peers)
{
    std::set<DaemonId> known;
    for (const Peer &peer : peers) {
        known.insert(peer.id);
    }
    std::erase_if(m_fleet, [&known](const auto &entry) {
        return !known.contains(entry.first);
    });
}

Advert Follower::advert(const SteadyTime now) const
{
    Advert advert{.version = m_inForce.version, .hash = m_inForce.hash, .endpoint = m_options.endpoint};
    if (const std::optional<Duration> age = m_confirmation.age(now)) {
        advert.confirmedAge = std::chrono::ceil<std::chrono::milliseconds>(*age);
    }
    advert.provenAt = m_proof.provenAt();
    return advert;
}

bool Follower::isBehind() const noexcept
{
    return m_target.version > m_inForce.version;
}

} // namespace egretlatch::configuration
