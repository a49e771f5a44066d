#ifndef EGRETLATCH_SETTINGS_MECHANISM_HPP
#define EGRETLATCH_SETTINGS_MECHANISM_HPP

#include <array>
#include <set>
#include <string_view>

namespace egretlatch::settings
{

/*! @brief A part of the decisions that an experiment can do without, to learn what it is worth. */
enum class Mechanism {
    /*! @brief Roots are ordered by what they cost a service as a whole. */
    wholeCosts,
    /*! @brief Inner calls of admitted roots are not refused for lack of room. */
    keptInnerCalls,
    /*! @brief Announced slots are used whatever a server's failures suggest. */
    trustedSlots,
    /*! @brief Queues may take a while to drain, however short the runs are. */
    longQueues,
    /*! @brief Levels follow demand slowly enough for servers with few slots. */
    slowLevels,
    /*! @brief Roots are refused at their entry by the levels down their chain. */
    entryRefusals,
    /*! @brief Servers are chosen by what they and their daemons have shown of themselves. */
    serverKnowledge,
    /*! @brief What has failed is sent again within the fleet's bound. */
    retries,
    /*! @brief Requests of one connection run beside one another. */
    overlap,
};

/*! @brief What an experiment does without; empty in operation. */
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
