#ifndef EGRETLATCH_ADMISSION_GATE_RULES_HPP
#define EGRETLATCH_ADMISSION_GATE_RULES_HPP

#include <chrono>

#include <egretlatch/admission/level_times.hpp>

namespace egretlatch::admission
{

/*! @brief Assumptions of an adaptive gate about its server, and its rules for shedding. */
struct GateRules
{
    /*! @brief The server can run as many requests as it announces slots, and only this daemon sends it requests. */
    bool areSlotsTrusted{};
    /**
     * @brief An inner call is refused only if its deadline cannot be met.
     *
     * Refusing it wastes all slot time that its root has used so far, so excess load is refused as roots, at their entry.
     * Meant for configurations without worth, where the queue's order cannot tell a cheap loss from an expensive one.
     */
    bool keepsInnerCalls{};
    /*! @brief Minimum target drain time of the queue, regardless of the declared queue target and run times. */
    std::chrono::milliseconds minDrainTarget{0};
    LevelTimes level;

    friend bool operator==(const GateRules &, const GateRules &) = default;
};

} // namespace egretlatch::admission

#endif
