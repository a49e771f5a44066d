#include <egretlatch/account/refusal.hpp>

#include <array>

#include <fmt/format.h>

namespace egretlatch::account
{

namespace internal
{

struct ReasonEntry
{
    RefusalReason reason;
    std::string_view name;
    int status;
};

constexpr int tooManyRequests = 429;
constexpr int badGateway = 502;
constexpr int serviceUnavailable = 503;
constexpr int gatewayTimeout = 504;
constexpr int conflict = 409;
constexpr int clientClosedRequest = 499;

constexpr std::array<ReasonEntry, 16> reasons{{
    {RefusalReason::overloadAtEntry, "overload-at-entry", tooManyRequests},
    {RefusalReason::overloadAtServer, "overload-at-server", tooManyRequests},
    {RefusalReason::overloadInQueue, "overload-in-queue", tooManyRequests},
    {RefusalReason::deadlinePassed, "deadline-passed", gatewayTimeout},
    {RefusalReason::cancelled, "cancelled", clientClosedRequest},
    {RefusalReason::noServer, "no-server", serviceUnavailable},
    {RefusalReason::serverLost, "server-lost", badGateway},
    {RefusalReason::draining, "draining", serviceUnavailable},
    {RefusalReason::retryBudgetSpent, "retry-budget-spent", serviceUnavailable},
    {RefusalReason::keyOwnerUnknown, "key-owner-unknown", serviceUnavailable},
    {RefusalReason::keyAlreadyUsed, "key-already-used", conflict},
    {RefusalReason::storeUnavailable, "store-unavailable", serviceUnavailable},
    {RefusalReason::quarantined, "quarantined", serviceUnavailable},
    {RefusalReason::daemonBusy, "daemon-busy", serviceUnavailable},
    {RefusalReason::overQuota, "over-quota", tooManyRequests},
    {RefusalReason::configurationUnproven, "configuration-unproven", serviceUnavailable},
}};

[[nodiscard]] static const ReasonEntry &entryOf(const RefusalReason reason)
{
    return reasons.at(static_cast<std::size_t>(reason));
}

} // namespace internal

std::string toText(const std::vector<Figure> &figures)
{
    std::string text;
    for (const Figure &figure : figures) {
        text += fmt::format("{}{}={:g}", text.empty() ? "" : " ", figure.name, figure.value);
    }
    return text;
}

std::string_view toString(const RefusalReason reason) noexcept
{
    return internal::entryOf(reason).name;
}

std::optional<RefusalReason> refusalReasonFromString(const std::string_view name) noexcept
{
    for (const internal::ReasonEntry &entry : internal::reasons) {
        if (entry.name == name) {
            return entry.reason;
        }
    }
    return std::nullopt;
}

bool isOverload(const RefusalReason reason) noexcept
{
    return httpStatus(reason) == internal::tooManyRequests || reason == RefusalReason::daemonBusy;
}

int httpStatus(const RefusalReason reason) noexcept
{
    return internal::entryOf(reason).status;
}

} // namespace egretlatch::account
