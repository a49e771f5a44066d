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

/*! @brief What a daemon does with a key of a caller that names no owner. */
enum class UnownedKeys {
    /*! @brief It is not run: without an owner, two daemons could run it. */
    refuse,
    /*! @brief The entry that the key comes to owns it. Safe only where all resends come to that entry, and it does not restart. */
    entryMemory,
    /*! @brief Callers name each attempt anew, so none repeats another: an attempt runs at most once, and no key is asked for. */
    notNeeded,
};

/*! @brief What the owner knows of a key. */
enum class KeyState {
    /*! @brief Never begun, and may be. */
    fresh,
    /*! @brief Being run. */
    running,
    /*! @brief Completed, and the answer is held. */
    answered,
    /*! @brief Completed; the answer has been dropped for want of memory. */
    answerDropped,
    /*! @brief Refused as not run, and closed: it never runs. */
    closed,
    /*! @brief Ended without proof either way; it is not run again. */
    uncertain,
    /*! @brief Older than what is remembered; it may be any of the others. */
    forgotten,
    /*! @brief Known with another request under the same key. */
    mismatched,
};

/*! @brief The answer of a backend server, as held for resends. */
struct HeldAnswer
{
    int status{};
    Headers headers;
    QByteArray body;

    friend bool operator==(const HeldAnswer &, const HeldAnswer &) = default;
};

/*! @brief What the ledger finds under a key. */
struct KeyLookup
{
    KeyState state{};
    /*! @brief Set where the answer is held; valid until the next change of the ledger. */
    const HeldAnswer *answer{};
    /*! @brief Attempts that the last run of the key left over. */
    int attemptsLeft{};
    /*! @brief Verdict told of a key whose standing is `mismatched`. */
    Verdict verdict{Verdict::mayHaveRun};
};

/*! @brief Bounds of a ledger. */
struct KeyLedgerLimits
{
    std::size_t entries{50'000};
    std::size_t answerBytes{16UL * 1024 * 1024};

    friend bool operator==(const KeyLedgerLimits &, const KeyLedgerLimits &) = default;
};

/**
 * @brief What became of each request key that this life of the daemon owns.
 *
 * Bounded: the oldest keys are forgotten first, and with them all keys of their age or older that were never seen, so a
 * forgotten key is never taken for a fresh one.
 */
class KeyLedger
{
public:
    using Age = std::chrono::milliseconds;

    /**
     * @brief Builds an empty ledger.
     * @param limits How much it holds.
     */
    explicit KeyLedger(KeyLedgerLimits limits = {});

    /**
     * @brief Looks a key up.
     * @param key The key.
     * @param age Age of the owner when the key was minted.
     * @param request Hash of the request that comes with it.
     * @return What is known.
     */
    [[nodiscard]] KeyLookup find(const std::string &key, Age age, std::uint64_t request) const;

    /**
     * @brief Enters a fresh key as running; called before its first attempt leaves the daemon.
     * @param key The key.
     * @param age Age of the owner when the key was minted.
     * @param request Hash of the request that comes with it.
     */
    void begin(const std::string &key, Age age, std::uint64_t request);

    /**
     * @brief Ends a running key.
     * @param key The key.
     * @param verdict What became of it.
     * @param answer The answer; kept where the verdict is `completed`.
     * @param attemptsLeft Attempts left over, for a resend after `not-run`.
     */
    void end(const std::string &key, Verdict verdict, HeldAnswer answer, int attemptsLeft);

    /**
     * @brief Forgets that a key was refused as not run, so that it may run after all.
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
        std::uint64_t request{};
        KeyState state{KeyState::running};
        HeldAnswer answer;
        int attemptsLeft{};
    };

    void forgetOldest();
    void dropAnswers();

    KeyLedgerLimits m_limits;
    std::unordered_map<std::string, Entry> m_entries;
    /*! @brief Keys that have ended, by age: the order in which they are forgotten. */
    std::set<std::pair<Age, std::string>> m_ended;
    std::deque<std::string> m_answered;
    std::size_t m_answerBytes{};
    Age m_forgottenThrough{-1};
};

} // namespace egretlatch::retry

#endif
