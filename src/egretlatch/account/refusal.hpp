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

/*! @brief Reason for refusing a request. */
enum class RefusalReason {
    /*! @brief A downstream service refuses requests of this rank, as known to the entry daemon. */
    overloadAtEntry,
    /*! @brief The serving daemon refuses requests of this rank. */
    overloadAtServer,
    /*! @brief The request was displaced from the queue by others, or waited too long for a slot. */
    overloadInQueue,
    /*! @brief The caller's deadline has passed. */
    deadlinePassed,
    /*! @brief The caller closed its connection. */
    cancelled,
    /*! @brief No backend server of the service is known, or none accepts new requests. */
    noServer,
    /*! @brief The chosen backend server could not be reached, or its connection was lost before it answered. */
    serverLost,
    /*! @brief The backend server is shutting down and accepts no new requests. */
    draining,
    /*! @brief The retry budget of the root request is used up. */
    retryBudgetSpent,
    /*! @brief The daemon that owns the request key, and so knows its state, is unknown or cannot be reached. */
    keyOwnerUnknown,
    /*! @brief A request with the same key is running, or its outcome is no longer stored. */
    keyAlreadyUsed,
    /*! @brief State that must be durable cannot be written at present, so the request is not started. */
    storeUnavailable,
    /*! @brief Requests like this one have crashed backend servers. */
    quarantined,
    /*! @brief A ring between two threads of the daemon is full. */
    daemonBusy,
    /*! @brief The client account has used up its quota. */
    overQuota,
    /*! @brief The configuration in force may be too old to decide by an API key, or to attribute a call without one. */
    configurationUnproven,
};

/**
 * @brief Returns the name used in answers and records.
 * @param reason Reason to name.
 * @return Name in lower case with dashes, such as `overload-at-entry`.
 */
[[nodiscard]] std::string_view toString(RefusalReason reason) noexcept;

/**
 * @brief Finds a reason by its name.
 * @param name Name as returned by toString().
 * @return Reason, or nothing for any other name.
 */
[[nodiscard]] std::optional<RefusalReason> refusalReasonFromString(std::string_view name) noexcept;

/**
 * @brief Checks if a reason indicates a lack of capacity.
 * @param reason The reason.
 * @return True if an immediate resend would only increase the load.
 */
[[nodiscard]] bool isOverload(RefusalReason reason) noexcept;

/**
 * @brief Returns the HTTP status of the answer to a refused request.
 * @param reason The reason.
 * @return 409, 429, 499, 502, 503 or 504.
 */
[[nodiscard]] int httpStatus(RefusalReason reason) noexcept;

/*! @brief Observed value on which a refusal is based. */
struct Figure
{
    std::string name;
    double value{};

    friend bool operator==(const Figure &, const Figure &) = default;
};

/**
 * @brief Formats figures as text.
 * @param figures Figures to format.
 * @return `name=value` pairs, separated by spaces.
 */
[[nodiscard]] std::string toText(const std::vector<Figure> &figures);

/*! @brief Refusal as sent to the caller and recorded in the account. */
struct Refusal
{
    /*! @brief Identifies this refusal in the account. */
    Uuid id;
    RefusalReason reason{};
    /*! @brief Rule that refused the request, with the daemon that applied it. */
    std::string rule;
    std::vector<Figure> figures;
    /*! @brief Delay after which to retry; zero where a retry would not help. */
    std::chrono::milliseconds retryAfter{};
    /*! @brief Version of the configuration in force at the time. */
    std::uint64_t configurationVersion{};

    friend bool operator==(const Refusal &, const Refusal &) = default;
};

} // namespace egretlatch::account

#endif
