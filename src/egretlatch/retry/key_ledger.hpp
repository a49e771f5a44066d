#ifndef EGRETLATCH_RETRY_KEY_LEDGER_HPP
#define EGRETLATCH_RETRY_KEY_LEDGER_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include <QByteArray>

#include <egretlatch/core/header.hpp>
#include <egretlatch/core/verdict.hpp>

namespace egretlatch::retry
{

/*! @brief Policies for a caller's key that names no owner. */
enum class UnownedKeys {
    /*! @brief The request is refused: without an owner, two daemons could run it. */
    refuse,
    /*! @brief The entry daemon that receives the key owns it. Safe only if all resends go there and it doesn't restart. */
    entryMemory,
    /*! @brief Callers give each attempt a new name, so no attempt repeats another: it runs at most once without a key. */
    notNeeded,
};

/*! @brief States of a key, as known to its owner. */
enum class KeyState {
    /*! @brief Not started yet; may run. */
    fresh,
    /*! @brief Running. */
    running,
    /*! @brief Completed; the answer is stored. */
    answered,
    /*! @brief Completed; the answer was dropped to free memory. */
    answerDropped,
    /*! @brief Refused as not run; the key is closed and never runs. */
    closed,
    /*! @brief Ended without proof of whether it ran; it is not run again. */
    uncertain,
    /*! @brief Older than the oldest remembered key; its state is unknown. */
    forgotten,
    /*! @brief The key was used with a different request. */
    mismatched,
};

/*! @brief Answer of a backend server, stored for resends. */
struct HeldAnswer
{
    int status{};
    Headers headers;
    QByteArray body;

    friend bool operator==(const HeldAnswer &, const HeldAnswer &) = default;
};

/*! @brief Result of looking up a key. */
struct KeyLookup
{
    KeyState state{};
    /*! @brief The stored answer, or null; valid until the ledger changes. */
    const HeldAnswer *answer{};
    /*! @brief Attempts left after the last run of the key. */
    int attemptsLeft{};
    /*! @brief Verdict to report for a key whose state is `mismatched`. */
    Verdict verdict{Verdict::mayHaveRun};
};

/*! @brief Limits of a ledger. */
struct KeyLedgerLimits
{
    std::size_t entries{50'000};
    std::size_t answerBytes{16UL * 1024 * 1024};

    friend bool operator==(const KeyLedgerLimits &, const KeyLedgerLimits &) = default;
};

/**
 * @brief Tracks the state of each request key that this incarnation of the daemon owns.
 *
 * The size is bounded: the oldest keys are forgotten first, together with all keys of their age or older that were never
 * seen, so that a forgotten key is never mistaken for a fresh one.
 */
class KeyLedger
{
public:
    using Age = std::chrono::milliseconds;

    /**
     * @brief Creates an empty ledger.
     * @param limits Maximum number of keys and maximum total size of stored answers.
     */
    explicit KeyLedger(KeyLedgerLimits limits = {});

    /**
     * @brief Looks up a key.
     * @param key The key.
     * @param age Age of the owner when the key was minted.
     * @param requestHash Hash of the request that was sent with the key.
     * @return State of the key, with the stored answer and the attempts left.
     */
    [[nodiscard]] KeyLookup find(const std::string &key, Age age, std::uint64_t requestHash) const;

    /**
     * @brief Adds a fresh key as running; must be called before its first attempt is sent.
     * @param key The key.
     * @param age Age of the owner when the key was minted.
     * @param requestHash Hash of the request that was sent with the key.
     */
    void begin(const std::string &key, Age age, std::uint64_t requestHash);

    /**
     * @brief Records the end of a running key.
     * @param key The key.
     * @param verdict Verdict on the run.
     * @param answer The answer; stored if the verdict is `completed`.
     * @param attemptsLeft Attempts left for a resend after `not-run`.
     */
    void end(const std::string &key, Verdict verdict, HeldAnswer answer, int attemptsLeft);

    /**
     * @brief Removes a key that was refused as not run, so that it may run again.
     * @param key The key.
     */
    void reopen(const std::string &key);

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_entries.size();
    }

private:
    struct Entry
    {
        Age age{};
        std::uint64_t requestHash{};
        KeyState state{KeyState::running};
        HeldAnswer answer;
        int attemptsLeft{};
    };

    void forgetOldest();
    void dropAnswers();

    KeyLedgerLimits m_limits;
    std::unordered_map<std::string, Entry> m_entries;
    /*! @brief Keys that have ended, by age; forgotten in this order. */
    std::set<std::pair<Age, std::string>> m_ended;
    std::deque<std::string> m_answered;
    std::size_t m_answerBytes{};
    Age m_forgottenThrough{-1};
};

} // namespace egretlatch::retry

#endif
