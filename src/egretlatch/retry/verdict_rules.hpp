#ifndef EGRETLATCH_RETRY_VERDICT_RULES_HPP
#define EGRETLATCH_RETRY_VERDICT_RULES_HPP

#include <string_view>

#include <egretlatch/core/verdict.hpp>

namespace egretlatch::retry
{

/*! @brief The ways in which one attempt ends, as the daemon that sees the end knows it. */
enum class AttemptEnd {
    /*! @brief The backend server answered. */
    answered,
    /*! @brief The message never left the daemon that makes the attempt. */
    neverSent,
    /*! @brief The serving daemon refused it at the door; its call id is spent, so no copy of it starts later. */
    refusedOnArrival,
    /*! @brief It was taken out of the queue before it was started. */
    removedFromQueue,
    /*! @brief The backend server took no connection. */
    neverConnected,
    /*! @brief The backend server said that it did not start the request. */
    rejectedByServer,
    /*! @brief The connection was lost after the request was sent. */
    connectionLost,
    /*! @brief The serving daemon closed the connection of a run. */
    aborted,
    /*! @brief No answer came in time; the message may be under way still. */
    unanswered,
    /*! @brief It was meant for an earlier life of the serving daemon, which may have run it. */
    meantForEarlierIncarnation,
    /*! @brief It was meant for an earlier life of the serving daemon, which has not got it. */
    missedEarlierIncarnation,
};

/**
 * @brief Judges one attempt.
 * @param end How it ended.
 * @return What holds of this attempt alone.
 */
[[nodiscard]] Verdict verdictOf(AttemptEnd end) noexcept;

/**
 * @brief Judges a call by its attempts.
 * @param earlier Verdict on the attempts before.
 * @param last Verdict on the last one.
 * @return `completed` if the last one is; else `not-run` only if all are.
 */
[[nodiscard]] Verdict combine(Verdict earlier, Verdict last) noexcept;

/*! @brief What a daemon knows of the attempts that were made with a request key. */
enum class KeyKnowledge {
    /*! @brief The request has no key, so its verdict speaks of this exchange alone. */
    noKey,
    /*! @brief This daemon owns the key: each attempt with it was decided here. */
    owner,
    /*! @brief Others may have made attempts with the key. */
    none,
};

/**
 * @brief Judges a key.
 * @param knowledge What the daemon knows of the key.
 * @param attempts Verdict on the attempts that this daemon knows of.
 * @return The verdict to tell; never `not-run` of a key whose attempts are not all known.
 */
[[nodiscard]] Verdict verdictForKey(KeyKnowledge knowledge, Verdict attempts) noexcept;

/**
 * @brief Judges a request that is refused before anything is known of its key.
 * @param key The key as the caller gave it; empty if it gave none.
 * @return `not-run` without a key, or with one that no daemon takes; otherwise an earlier attempt may have run elsewhere.
 */
[[nodiscard]] Verdict verdictBeforeLookup(std::string_view key) noexcept;

} // namespace egretlatch::retry

#endif
