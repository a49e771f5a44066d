#ifndef EGRETLATCH_CONFIGURATION_POLL_SCHEDULE_HPP
#define EGRETLATCH_CONFIGURATION_POLL_SCHEDULE_HPP

#include <chrono>
#include <optional>

#include <egretlatch/configuration/read_duty.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/random_source.hpp>
#include <egretlatch/store/backoff.hpp>
#include <egretlatch/store/store_time.hpp>

namespace egretlatch::configuration
{

/*! @brief Call of the store that reads configurations. */
enum class ReadCall {
    /*! @brief Returns the current configuration, and the position that changes continue from. */
    read,
    /*! @brief Returns at once the changes since the position. */
    check,
    /*! @brief Returns the changes since the position as soon as there is one, or when its wait is over. */
    longPoll,
};

/*! @brief Next call of the store, with the time for which the store may hold it and the time after which it has failed. */
struct PlannedCall
{
    ReadCall call{};
    std::chrono::milliseconds wait{};
    std::chrono::milliseconds timeout{};

    friend bool operator==(const PlannedCall &, const PlannedCall &) = default;
};

/*! @brief Conditions that decide the next call. */
struct PollConditions
{
    ReadReason reason{ReadReason::none};
    ReadTurn turn;
    /*! @brief Age of the newest answer of the store that this daemon knows, of its own or of others; nothing if it knows none. */
    std::optional<Duration> newestAnswerAge{};
    /*! @brief Limit of the wait of long polls; nothing for the longest that the store's history allows. */
    std::optional<std::chrono::milliseconds> pollLimit{};
};

/**
 * @brief Decides when a daemon calls the store for configurations, and with which call; performs no I/O.
 *
 * A long poll that the store lost looks like one that waits for a change, so a pending call proves nothing about the present. Two
 * rules bound for how long all readers of a fleet can miss a change. Their polls end in turn, at times of the store's clock that
 * their places among the readers give, so that the fleet gets an answer about each second at no more calls than polls in step would
 * take. And a poll is given up for a check when the newest answer that is known in the fleet is older than some seconds.
 */
class PollSchedule
{
public:
    /**
     * @brief Builds a schedule without answers.
     * @param random Source of jitter; must outlive it.
     */
    explicit PollSchedule(RandomSource &random);

    /**
     * @brief Plans the next call; to be called a few times a second.
     * @param conditions Present conditions.
     * @param now Current time.
     * @return The call to send now, which takes the place of a pending one; nothing if none is due.
     */
    [[nodiscard]] std::optional<PlannedCall> next(const PollConditions &conditions, SteadyTime now);

    /**
     * @brief Records the answer to the pending call.
     * @param storeNow Time of the store's clock; nothing if the answer has none.
     * @param hasDocuments True if it brought a configuration.
     * @param now Current time.
     */
    void noteAnswer(std::optional<store::StoreTime> storeNow, bool hasDocuments, SteadyTime now);

    /**
     * @brief Records that the pending call failed.
     * @param now Current time.
     */
    void noteFailure(SteadyTime now);

    /*! @brief Records that the store no longer holds the changes since the position. */
    void notePositionLost() noexcept
    {
        m_hasPosition = false;
    }

    [[nodiscard]] bool isPending() const noexcept
    {
        return m_pending.has_value();
    }

    /**
     * @brief Returns the time at which the store last confirmed that nothing newer than its answers was accepted.
     * @param now Current time.
     * @return The current time while a long poll is pending, which next() gives up in time; nothing if the last call failed.
     */
    [[nodiscard]] std::optional<SteadyTime> confirmedAt(SteadyTime now) const;

private:
    [[nodiscard]] bool isPendingCallObsolete(const PollConditions &conditions, SteadyTime now) const;
    [[nodiscard]] ReadCall chooseCall(const PollConditions &conditions, SteadyTime now) const;
    [[nodiscard]] std::chrono::milliseconds pollWait(const PollConditions &conditions, SteadyTime now);
    [[nodiscard]] std::optional<store::StoreTime> storeNow(SteadyTime now) const;

    /*! @brief Reading of the store's clock, and the time at which it arrived. */
    struct StoreReading
    {
        store::StoreTime storeNow;
        SteadyTime at;
    };

    RandomSource &m_random;
    store::Backoff m_backoff;
    std::optional<ReadCall> m_pending;
    /*! @brief Age of the newest known answer from which the pending long poll is given up. */
    Duration m_maxAnswerAge{};
    SteadyTime m_nextCall;
    /*! @brief Time of this daemon's last answer; empty after a failed call. */
    std::optional<SteadyTime> m_answeredAt;
    std::optional<StoreReading> m_storeReading;
    bool m_hasPosition{};
};

} // namespace egretlatch::configuration

#endif
