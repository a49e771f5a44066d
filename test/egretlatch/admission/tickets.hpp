#ifndef TEST_EGRETLATCH_ADMISSION_TICKETS_HPP
#define TEST_EGRETLATCH_ADMISSION_TICKETS_HPP

#include <egretlatch/admission/gate.hpp>

namespace tests
{

using namespace std::chrono_literals;

inline constexpr egretlatch::SteadyTime start{std::chrono::hours{1}};

/**
 * @brief Creates a root's ticket of one kind, with 10 ms of declared slot time and one second until its deadline.
 * @param number Number of the execution, also of the root.
 * @param priority Priority of the root.
 * @param now Time of arrival.
 * @return The ticket.
 */
[[nodiscard]] inline egretlatch::admission::Ticket rootTicket(const std::uint64_t number, const int priority, const egretlatch::SteadyTime now = start)
{
    egretlatch::Uuid::Bytes bytes{};
    for (std::size_t index = 0; index < sizeof(number); ++index) {
        bytes.at(index) = static_cast<std::uint8_t>(number >> (8 * index));
    }
    return {
        .execution = {number},
        .root = egretlatch::Uuid{bytes},
        .kind = "kind",
        .cost = 10ms,
        .rankClass = {.priority = priority, .density = 30},
        .invested = {},
        .isInner = false,
        .arrived = now,
        .deadline = now + 1s,
    };
}

/**
 * @brief Creates the ticket of an inner call.
 * @param number Number of the execution, also of the root.
 * @param priority Priority of the root.
 * @param invested Slot time that the root has used so far.
 * @return The ticket.
 */
[[nodiscard]] inline egretlatch::admission::Ticket innerTicket(const std::uint64_t number, const int priority, const egretlatch::Duration invested)
{
    egretlatch::admission::Ticket ticket = rootTicket(number, priority);
    ticket.isInner = true;
    ticket.invested = invested;
    return ticket;
}

/**
 * @brief Creates the observation of a successful run.
 * @param latency Time that the run took.
 * @return The observation.
 */
[[nodiscard]] inline egretlatch::admission::Observation success(const egretlatch::Duration latency)
{
    return {.outcome = egretlatch::admission::RunOutcome::succeeded, .latency = latency, .waitedForInner = {}};
}

} // namespace tests

#endif
