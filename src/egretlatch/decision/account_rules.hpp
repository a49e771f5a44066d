#ifndef EGRETLATCH_DECISION_ACCOUNT_RULES_HPP
#define EGRETLATCH_DECISION_ACCOUNT_RULES_HPP

#include <optional>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/quota/limit.hpp>

namespace egretlatch::decision
{

/*! @brief Rules for calls of client accounts. */
struct AccountRules
{
    /*! @brief Greatest proven age of the configuration at which a key counts; empty if withdrawn keys need no proof. */
    std::optional<Duration> maxAgeForKeys;
    /*! @brief Greatest age of the configuration at which an unknown key is refused for good. */
    Duration maxAgeForUnknownKeys{std::chrono::seconds{2}};
    /*! @brief Time without contact to the store after which a daemon's calls with keys rank last in an overload; empty for never. */
    std::optional<Duration> maxTimeWithoutStore{};
    quota::Rules quota;

    friend bool operator==(const AccountRules &, const AccountRules &) = default;
};

} // namespace egretlatch::decision

#endif
