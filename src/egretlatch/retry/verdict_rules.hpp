#ifndef EGRETLATCH_RETRY_VERDICT_RULES_HPP
#define EGRETLATCH_RETRY_VERDICT_RULES_HPP

#include <string_view>

#include <egretlatch/core/verdict.hpp>

namespace egretlatch::retry
{

/*! @brief Ends of an attempt, as known to the daemon that observes the end. */
enum class AttemptEnd {
    /*! @brief The backend server answered. */
    answered,
    /*! @brief The message was never sent by the daemon that makes the attempt. */
    neverSent,
    /*! @brief The serving daemon refused the call on arrival; its call id is used up, so no later copy is started. */
    refusedOnArrival,
    /*! @brief The call was removed from the queue before it was started. */
    removedFromQueue,
    /*! @brief The backend server accepted no connection. */
    notConnected,
    /*! @brief The backend server reported that it didn't start the request. */
    rejectedByServer,
    /*! @brief The connection was lost after the request was sent. */
    connectionLost,
    /*! @brief The serving daemon closed the connection of a run. */
    aborted,
    /*! @brief No answer arrived in time; the message may still be in transit. */
    unanswered,
    /*! @brief The call was meant for an earlier incarnation of the serving daemon, which may have run it. */
    meantForEarlierIncarnation,
    /*! @brief The call was meant for an earlier incarnation of the serving daemon, which never received it. */
    missedEarlierIncarnation,
};

/**
 * @brief Returns the verdict on one attempt.
 * @param end End of the attempt.
 * @return Verdict on this attempt alone.
 */
[[nodiscard]] Verdict verdictOf(AttemptEnd end) noexcept;

/**
 * @brief Combines the verdicts on the attempts of a call.
 * @param earlier Verdict on the earlier attempts.
 * @param last Verdict on the last attempt.
 * @return `completed` if the last attempt completed; otherwise `not-run` only if no attempt ran.
 */
[[nodiscard]] Verdict combine(Verdict earlier, Verdict last) noexcept;

/*! @brief Knowledge that a daemon has of the attempts made with a request key. */
enum class KeyKnowledge {
    /*! @brief The request has no key, so its verdict covers this exchange alone. */
    noKey,
    /*! @brief This daemon owns the key and decided every attempt with it. */
    owner,
    /*! @brief Other daemons may have made attempts with the key. */
    none,
};

/**
 * @brief Returns the verdict on a key.
 * @param knowledge Knowledge that the daemon has of the key's attempts.
 * @param attempts Verdict on the attempts known to this daemon.
 * @return The verdict to report; never `not-run` for a key whose attempts aren't all known.
 */
[[nodiscard]] Verdict verdictForKey(KeyKnowledge knowledge, Verdict attempts) noexcept;

/**
 * @brief Returns the verdict on a request that is refused before its key was looked up.
 * @param key The key as sent by the caller; empty if there is none.
 * @return `not-run` without a key or with an invalid one, else `may-have-run`, since an earlier attempt may have run elsewhere.
 */
[[nodiscard]] Verdict verdictBeforeLookup(std::string_view key) noexcept;

} // namespace egretlatch::retry

#endif
