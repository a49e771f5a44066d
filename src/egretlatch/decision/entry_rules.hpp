#ifndef EGRETLATCH_DECISION_ENTRY_RULES_HPP
#define EGRETLATCH_DECISION_ENTRY_RULES_HPP

#include <optional>

namespace egretlatch::decision
{

/*! @brief Rules by which an entry daemon makes the attempts of a call. The defaults suit a fleet without shared limits. */
struct EntryRules
{
    /**
     * @brief Counts only requests that reach a backend server as attempts.
     *
     * A call that a daemon refuses before its server received it moves to another daemon immediately, without a backoff and
     * without using an attempt: nothing ran, so load does not multiply down the chain. Each call, including inner ones, may
     * use the attempts of its own kind; the limit over all hops is the retry ratio and the slack of each service.
     */
    bool countsOnlyArrivals{};
    /**
     * @brief Repeats that a service accepts beyond its retry ratio from the whole fleet, divided among the daemons.
     *
     * If unset, each daemon has a limit of its own.
     */
    std::optional<double> retrySlack;
    /*! @brief Propagates traces with calls. Without a collector they only cost traffic between data centres. */
    bool traces{true};

    friend bool operator==(const EntryRules &, const EntryRules &) = default;
};

} // namespace egretlatch::decision

#endif
