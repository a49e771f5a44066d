#ifndef EGRETLATCH_SIDECAR_CONFIGURATION_FEED_HPP
#define EGRETLATCH_SIDECAR_CONFIGURATION_FEED_HPP

#include <cstdint>
#include <functional>
#include <optional>

#include <egretlatch/core/random_source.hpp>
#include <egretlatch/sidecar/store_client.hpp>
#include <egretlatch/store/backoff.hpp>

namespace egretlatch::sidecar
{

/**
 * @brief Follows what the operators write, by calls that the store holds until there is something new.
 *
 * One call is out at a time. A connection that goes silent under it is ended by the probes of `net::TcpStream`, and the call
 * is made again; other daemons tell of a newer configuration meanwhile.
 */
class ConfigurationFeed
{
public:
    using DocumentHandler = std::function<void(const QByteArray &document)>;

    /**
     * @brief Builds a feed that has not begun.
     * @param client Carries the calls; must outlive it.
     * @param clock Source of time; must outlive it.
     * @param random Source of jitter; must outlive it.
     * @param onDocument Takes each document as the operators wrote it.
     */
    ConfigurationFeed(StoreClient &client, const Clock &clock, RandomSource &random, DocumentHandler onDocument);

    /*! @brief Sends the next call if none is out and it is time for one; to be called a few times a second. */
    void tick();

private:
    void handleAnswer(const http::Outcome &result);
    void retryLater();

    StoreClient &m_client;
    const Clock &m_clock;
    RandomSource &m_random;
    DocumentHandler m_onDocument;
    store::Backoff m_backoff;
    /*! @brief Nothing before the first page, and after the store has dropped the history behind it. */
    std::optional<std::uint64_t> m_position;
    SteadyTime m_nextCall;
    bool m_isCallPending{};
};

} // namespace egretlatch::sidecar

#endif
