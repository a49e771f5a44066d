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
 * @brief Follows the operators' configuration by long polling of the store.
 *
 * At most one call is pending. If its connection goes silent, the probes of `net::TcpStream` close it and the call is repeated;
 * meanwhile, other daemons report newer configurations.
 */
class ConfigurationFeed
{
public:
    using DocumentHandler = std::function<void(const QByteArray &document)>;

    /**
     * @brief Builds a feed; the first tick() sends the first call.
     * @param client Sends the calls; must outlive it.
     * @param clock Source of time; must outlive it.
     * @param random Source of jitter; must outlive it.
     * @param onDocument Receives each document as the operators wrote it.
     */
    ConfigurationFeed(StoreClient &client, const Clock &clock, RandomSource &random, DocumentHandler onDocument);

    /*! @brief Sends the next call if none is pending and one is due; to be called a few times a second. */
    void tick();

private:
    void handleAnswer(const http::Outcome &result);
    void retryLater();

    StoreClient &m_client;
    const Clock &m_clock;
    RandomSource &m_random;
    DocumentHandler m_onDocument;
    store::Backoff m_backoff;
    /*! @brief Position in the store's history; empty before the first page and after the store has dropped that part of its history. */
    std::optional<std::uint64_t> m_position;
    SteadyTime m_nextCall;
    bool m_isCallPending{};
};

} // namespace egretlatch::sidecar

#endif
