#ifndef EGRETLATCH_DECISION_ENTRY_RULES_HPP
#define EGRETLATCH_DECISION_ENTRY_RULES_HPP

#include <optional>

namespace egretlatch::decision
{

/*! @brief How an entry daemon makes the attempts of a call. The defaults are those of a fleet that shares no bounds. */
struct EntryRules
{
    /**
     * @brief Only what reaches a backend server counts as an attempt.
     *
     * A call that a daemon refuses before its server got it then goes to another daemon at once, without a backoff and
     * without being paid for: nothing multiplies down the chain, since nothing ran. Each call, inner ones too, may spend
     * the attempts of its own kind; the bound over all hops is the ratio and the slack of each service.
     */
    bool countsOnlyArrivals{};
    /*! @brief Repeats that a service takes beyond its ratio, from all daemons together; each daemon has its part. Without it, each has a number of its own. */
    std::optional<double> retrySlack;
    /*! @brief Calls carry a trace. Without a collector, it is bytes between data centres for nobody. */
    bool traces{true};

    friend bool operator==(const EntryRules &, const EntryRules &) = default;
};

} // namespace egretlatch::decision

#endif
