#ifndef EGRETLATCH_ACCOUNT_REFUSAL_HPP
#define EGRETLATCH_ACCOUNT_REFUSAL_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <egretlatch/core/uuid.hpp>
#include <egretlatch/core/verdict.hpp>

namespace egretlatch::account
{

/*! @brief Why a request was refused. */
enum class RefusalReason {
    /*! @brief The entry daemon saw that a service down the chain refuses requests of this rank. */
    overloadAtEntry,
    /*! @brief The serving daemon refuses requests of this rank. */
    overloadAtServer,
    /*! @brief The request waited for a slot and gave way to others, or waited too long. */
    overloadInQueue,
    /*! @brief The time that the caller gave has passed. */
    deadlinePassed,
    /*! @brief The caller went away. */
    cancelled,
    /*! @brief No backend server of the service is known, or none takes new work. */
    noServer,
    /*! @brief The chosen backend server could not be reached, or was lost before it answered. */
    serverLost,
    /*! @brief The backend server is leaving and takes no new work. */
    draining,
    /*! @brief The attempts that the root may spend are used up. */
    retryBudgetSpent,
    /*! @brief The daemon that knows what became of this request key cannot be asked. */
    keyOwnerUnknown,
    /*! @brief The same request key is being run, or its outcome is no longer held. */
    keyAlreadyUsed,
    /*! @brief What must last cannot be written now, so the request is not begun. */
    storeUnavailable,
    /*! @brief Requests like this one have crashed backend servers. */
    quarantined,
    /*! @brief A ring between two threads of the daemon is full. */
    daemonBusy,
};

/**
 * @brief Gives the name used in answers and records.
 * @param reason The reason to name.
 * @return A name in lower case with dashes, such as `overload-at-entry`.
 */
[[nodiscard]] std::string_view toString(RefusalReason reason) noexcept;

/**
 * @brief Reads a reason by its name.
 * @param name One of the names that toString() gives.
 * @return The reason, or nothing for any other name.
 */
[[nodiscard]] std::optional<RefusalReason> refusalReasonFromString(std::string_view name) noexcept;

/**
 * @brief Tells whether a reason speaks of too little capacity.
 * @param reason The reason.
 * @return True if resending at once would only add to the load.
 */
[[nodiscard]] bool isOverload(RefusalReason reason) noexcept;

/**
 * @brief Gives the HTTP status that a refusal is answered with.
 * @param reason The reason.
 * @return 429, 502, 503, 504 or 409.
 */
[[nodiscard]] int httpStatus(RefusalReason reason) noexcept;

/*! @brief An observed number that a refusal rests on. */
struct Figure
{
    std::string name;
    double value{};

    friend bool operator==(const Figure &, const Figure &) = default;
};

/**
 * @brief Gives figures as text.
 * @param figures The figures.
 * @return `name=value`, with spaces between them.
 */
[[nodiscard]] std::string toText(const std::vector<Figure> &figures);

/*! @brief A refusal as it is answered and recorded. */
struct Refusal
{
    /*! @brief Names this refusal in the account. */
    Uuid id;
    RefusalReason reason{};
    /*! @brief The rule that refused, with the daemon that applied it. */
    std::string rule;
    std::vector<Figure> figures;
    /*! @brief When to come back; zero where that would not help. */
    std::chrono::milliseconds retryAfter{};
    /*! @brief Version of the configuration that was in force. */
    std::uint64_t configurationVersion{};

    friend bool operator==(const Refusal &, const Refusal &) = default;
};

} // namespace egretlatch::account

#endif
