#include <egretlatch/peer/link_table.hpp>

#include <algorithm>

namespace egretlatch::peer
{

namespace internal
{

constexpr std::size_t maxLinks = 128;
constexpr std::size_t maxKnownKeyIndexes = 4096;

} // namespace internal

LinkTable::LinkTable(zmq::context_t &context, SocketWatch &watch, std::string routingId, std::optional<settings::PeerKeys> keys)
    : m_context{context}
    , m_watch{watch}
    , m_routingId{std::move(routingId)}
    , m_keys{std::move(keys)}
{
}

bool LinkTable::isReplaced(const DaemonId &daemon, const std::string &endpoint) const
{
    const auto found = m_links.find(daemon);
    return found != m_links.end() && !endpoint.empty() && found->second->options().endpoint != endpoint;
}

PeerLink *LinkTable::linkTo(const DaemonId &daemon, const std::string &endpoint)
{
    const auto found = m_links.find(daemon);
    if (found != m_links.end() && (endpoint.empty() || found->second->options().endpoint == endpoint)) {
        return found->second.get();
    }
    if (endpoint.empty()) {
        return nullptr;
    }
    if (isReplaced(daemon, endpoint)) {
        // The VM was replaced and its daemon has a new address; nothing more arrives from the old one.
        recordEnded(daemon, *found->second, found->second->hasUnanswered());
        m_links.erase(found);
    }
    if (!closeOthersAt(endpoint)) {
        return nullptr;
    }
    if (m_links.size() >= internal::maxLinks && !evictLeastRecentlyUsed()) {
        return nullptr;
    }
    std::unique_ptr<PeerLink> link = open(daemon, endpoint);
    return link == nullptr ? nullptr : m_links.emplace(daemon, std::move(link)).first->second.get();
}

void LinkTable::closeUnneeded(const SteadyTime now)
{
    for (auto item = m_links.begin(); item != m_links.end();) {
        PeerLink &link = *item->second;
        const bool hasFailed = link.state() == LinkState::failed;
        if (hasFailed && reopen(item->first, link)) {
            ++item;
            continue;
        }
        if (link.hasEnded() || link.isIdle(now)) {
            if (link.hasEnded() || link.hasUnanswered()) {
                recordEnded(item->first, link, !hasFailed);
            }
            item = m_links.erase(item);
            continue;
        }
        ++item;
    }
}

std::vector<EndedLink> LinkTable::takeEnded()
{
    std::vector<EndedLink> ended;
    ended.swap(m_ended);
    return ended;
}

std::unique_ptr<PeerLink> LinkTable::open(const DaemonId &daemon, const std::string &endpoint)
{
    LinkOptions options{.daemon = daemon, .endpoint = endpoint, .routingId = m_routingId, .keys = m_keys, .serverKey = {}};
    if (m_keys.has_value()) {
        const auto knownIndex = m_keyIndexes.find(endpoint);
        options.serverKey = m_keys->accepted[knownIndex == m_keyIndexes.end() ? 0 : knownIndex->second % m_keys->accepted.size()];
    }
    try {
        return std::make_unique<PeerLink>(m_context, m_watch, std::move(options), ++m_lastNumber);
    } catch (const zmq::error_t &) {
        return nullptr;
    }
}

bool LinkTable::evictLeastRecentlyUsed()
{
    auto oldest = m_links.end();
    for (auto item = m_links.begin(); item != m_links.end(); ++item) {
        const bool isOlder = oldest == m_links.end() || item->second->lastUse() < oldest->second->lastUse();
        if (!item->second->hasUnanswered() && isOlder) {
            oldest = item;
        }
    }
    if (oldest == m_links.end()) {
        return false;
    }
    // Not recorded as ended: the daemon is well, and a PeerLost would have membership probe it. Without unanswered calls nothing
    // unsent needs an answer.
    m_links.erase(oldest);
    return true;
}

bool LinkTable::closeOthersAt(const std::string &endpoint)
{
    // A second connection with the same routing id takes the place of the first at the remote end, which then no longer hears
    // the first and does not close it either.
    const auto other = std::find_if(m_links.begin(), m_links.end(), [&endpoint](const auto &item) {
        return item.second->options().endpoint == endpoint;
    });
    if (other == m_links.end()) {
        return true;
    }
    if (other->second->hasUnanswered()) {
        return false;
    }
    recordEnded(other->first, *other->second, false);
    m_links.erase(other);
    return true;
}

bool LinkTable::reopen(const DaemonId &daemon, PeerLink &failed)
{
    // During a key rotation some daemons have the old key and some the new one, and only a connection attempt shows which.
    // A daemon that refuses every connection is down and must not be retried with each key for ever, so the attempts end
    // when the index wraps around to the first key.
    if (!m_keys.has_value() || m_keys->accepted.size() < 2) {
        return false;
    }
    if (m_keyIndexes.size() >= internal::maxKnownKeyIndexes) {
        m_keyIndexes.clear();
    }
    const std::size_t next = (m_keyIndexes[failed.options().endpoint] + 1) % m_keys->accepted.size();
    m_keyIndexes[failed.options().endpoint] = next;
    if (next == 0) {
        return false;
    }
    std::unique_ptr<PeerLink> link = open(daemon, failed.options().endpoint);
    if (link == nullptr) {
        return false;
    }
    link->takeOver(failed);
    m_links[daemon] = std::move(link);
    return true;
}

void LinkTable::recordEnded(const DaemonId &daemon, PeerLink &link, const bool wasOpen)
{
    m_ended.push_back({.daemon = daemon, .wasOpen = wasOpen, .unsent = link.takeUnsent()});
}

} // namespace egretlatch::peer
