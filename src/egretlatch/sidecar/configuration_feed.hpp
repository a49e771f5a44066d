#ifndef EGRETLATCH_SIDECAR_CONFIGURATION_FEED_HPP
#define EGRETLATCH_SIDECAR_CONFIGURATION_FEED_HPP

#include <cstdint>
#include <functional>
#include <optional>

#include <egretlatch/configuration/read_duty.hpp>
#include <egretlatch/core/logger.hpp>
#include <egretlatch/core/random_source.hpp>
#include <egretlatch/platform/store_wire.hpp>
#include <egretlatch/sidecar/store_client.hpp>
#include <egretlatch/store/backoff.hpp>

namespace egretlatch::sidecar
{

/*! @brief Receivers of what a ConfigurationFeed reads. */
struct ConfigurationReceivers
{
    /*! @brief Receives each document as the operators wrote it; returns false if it cannot be used. */
    std::function<bool(const QByteArray &document)> onDocument;
    /*! @brief Receives each reading of the store's clock. */
    std::function<void(const store::ClockReading &reading)> onClock;
    /*! @brief Receives each time of the store's clock up to which no newer document was accepted than those received. */
    std::function<void(store::StoreTime at)> onProof;
};

/**
 * @brief Follows the operators' configuration by long polling of the store, while there is a reason to.
 *
 * At most one call is pending. If its connection goes silent, the probes of `net::TcpStream` close it and the call is repeated;
 * meanwhile, other daemons report newer configurations.
 */
class ConfigurationFeed
{
public:
    /**
     * @brief Builds a feed without a reason to read.
     * @param client Sends the calls; must outlive it.
     * @param clock Source of time; must outlive it.
     * @param random Source of jitter; must outlive it.
     * @param logger Receives a line when reading begins or ends; must outlive it.
     * @param receivers Receivers of what it reads.
     */
    ConfigurationFeed(StoreClient &client, const Clock &clock, RandomSource &random, const Logger &logger, ConfigurationReceivers receivers);

    /**
     * @brief Starts or ends the sending of calls; one that is pending is left to end by itself.
     * @param reason Reason to read the store, or none; a change is logged.
     * @param confirmedAge Age of the latest confirmation that the daemon knows, for the log.
     */
    void setReason(configuration::ReadReason reason, std::optional<Duration> confirmedAge);

    /**
     * @brief Limits the time of the next long polls.
     * @param limit The limit; nothing for the longest time that the store's history allows.
     */
    void limitPollTime(std::optional<std::chrono::milliseconds> limit)
    {
        m_pollLimit = limit;
    }

    /*! @brief Sends the next call if none is pending and one is due; to be called a few times a second. */
    void tick();

    /**
     * @brief Returns the time at which the store last confirmed that nothing newer than the documents passed on was accepted.
     * @return The current time while a long poll is pending after an answer; nothing if the last call failed.
     */
    [[nodiscard]] std::optional<SteadyTime> confirmedAt() const;

private:
    void handleAnswer(const http::Outcome &result, BootTime sentAt);
    void passOn(const platform::ConfigurationPage &page, BootTime sentAt);
    [[nodiscard]] std::chrono::milliseconds pollTime() const;
    void retryLater();

    StoreClient &m_client;
    const Clock &m_clock;
    RandomSource &m_random;
    const Logger &m_logger;
    ConfigurationReceivers m_receivers;
    store::Backoff m_backoff;
    /*! @brief Position in the store's history; empty before the first page and after the store has dropped that part of its history. */
    std::optional<std::uint64_t> m_position;
    SteadyTime m_nextCall;
    /*! @brief Time of the last answer; empty after a failed call. */
    std::optional<SteadyTime> m_answeredAt;
    configuration::ReadReason m_reason{configuration::ReadReason::none};
    std::optional<std::chrono::milliseconds> m_pollLimit;
    /*! @brief Set while the newest document that was read cannot be used, so that nothing is proven. */
    bool m_isNewestUnusable{};
    bool m_isCallPending{};
};

} // namespace egretlatch::sidecar

#endif
