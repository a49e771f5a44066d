#ifndef EGRETLATCH_ADMISSION_GATE_RULES_HPP
#define EGRETLATCH_ADMISSION_GATE_RULES_HPP

#include <chrono>

#include <egretlatch/admission/level_times.hpp>

namespace egretlatch::admission
{

/*! @brief What an adaptive gate may rely on, and whom it refuses. */
struct GateRules
{
    /*! @brief The announced slots are what the server runs at a time, and nobody else sends it requests. */
    bool areSlotsTrusted{};
    /**
     * @brief An inner call is refused only if its deadline cannot be met.
     *
     * All that its root has cost so far is lost with it, so what is too much is refused as roots, at their entry. For
     * configurations without worth, where the queue's order cannot tell a cheap loss from a dear one.
     */
    bool keepsInnerCalls{};
    /*! @brief Time that a queue may take to drain, whatever is declared and however short the runs are. */
    std::chrono::milliseconds minDrainTarget{0};
    LevelTimes level;

    friend bool operator==(const GateRules &, const GateRules &) = default;
};

} // namespace egretlatch::admission

#endif
