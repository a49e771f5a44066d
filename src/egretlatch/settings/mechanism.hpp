#ifndef EGRETLATCH_SETTINGS_MECHANISM_HPP
#define EGRETLATCH_SETTINGS_MECHANISM_HPP

#include <array>
#include <set>
#include <string_view>

namespace egretlatch::settings
{

/*! @brief A mechanism of overload control that an experiment can disable to measure its effect. */
enum class Mechanism {
    /*! @brief Orders roots by the total cost that they cause at a service. */
    wholeCosts,
    /*! @brief Does not refuse inner calls of admitted roots for lack of capacity. */
    keptInnerCalls,
    /*! @brief Uses the announced slots regardless of a server's failures. */
    trustedSlots,
    /*! @brief Allows queues a minimum drain time, however short the runs are. */
    longQueues,
    /*! @brief Adjusts admission levels slowly enough for servers with few slots. */
    slowLevels,
    /*! @brief Refuses roots at their entry daemon according to the admission levels of downstream services. */
    entryRefusals,
    /*! @brief Chooses servers by the observed behaviour of the servers and their daemons. */
    serverKnowledge,
    /*! @brief Retries failed requests within the retry budget of the fleet. */
    retries,
    /*! @brief Runs requests of one connection concurrently. */
    overlap,
};

/*! @brief Mechanisms that an experiment disables; empty in production. */
using DisabledMechanisms = std::set<Mechanism>;

/*! @brief A mechanism and its name in settings. */
struct MechanismName
{
    Mechanism mechanism{};
    std::string_view name;
};

inline constexpr std::array mechanismNames{
    MechanismName{Mechanism::wholeCosts, "whole-costs"},
    MechanismName{Mechanism::keptInnerCalls, "kept-inner-calls"},
    MechanismName{Mechanism::trustedSlots, "trusted-slots"},
    MechanismName{Mechanism::longQueues, "long-queues"},
    MechanismName{Mechanism::slowLevels, "slow-levels"},
    MechanismName{Mechanism::entryRefusals, "entry-refusals"},
    MechanismName{Mechanism::serverKnowledge, "server-knowledge"},
    MechanismName{Mechanism::retries, "retries"},
    MechanismName{Mechanism::overlap, "overlap"},
};

} // namespace egretlatch::settings

#endif
