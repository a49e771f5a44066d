#ifndef EGRETLATCH_DECISION_DEPARTURE_RUMOUR_HPP
#define EGRETLATCH_DECISION_DEPARTURE_RUMOUR_HPP

#include <optional>
#include <string>

#include <egretlatch/core/ids.hpp>
#include <egretlatch/membership/rumour.hpp>

namespace egretlatch::decision
{

/**
 * @brief Builds the rumour of a backend server's departure.
 *
 * Other daemons keep it for the daemon on the server's VM, which may restart before the server has stopped.
 * @param daemon The daemon on the server's VM.
 * @param instance Instance name of the server.
 * @return The rumour.
 */
[[nodiscard]] membership::Rumour makeDepartureRumour(const DaemonId &daemon, const std::string &instance);

/**
 * @brief Reads the rumour of a backend server's departure.
 * @param rumour The rumour.
 * @param daemon The daemon that received it.
 * @return Instance name of the server; empty if the rumour is not a departure, or concerns the server of another daemon.
 */
[[nodiscard]] std::optional<std::string> departedInstance(const membership::Rumour &rumour, const DaemonId &daemon);

} // namespace egretlatch::decision

#endif
