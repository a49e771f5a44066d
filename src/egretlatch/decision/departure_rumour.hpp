#ifndef EGRETLATCH_DECISION_DEPARTURE_RUMOUR_HPP
#define EGRETLATCH_DECISION_DEPARTURE_RUMOUR_HPP

#include <optional>
#include <string>

#include <egretlatch/core/ids.hpp>
#include <egretlatch/membership/rumour.hpp>

namespace egretlatch::decision
{

/**
 * @brief Makes the news that a backend server leaves.
 *
 * The others keep it for the daemon beside that server, which may start again before the server has ended.
 * @param daemon The daemon beside the server.
 * @param instance Instance name of the server.
 * @return The news.
 */
[[nodiscard]] membership::Rumour makeDepartureRumour(const DaemonId &daemon, const std::string &instance);

/**
 * @brief Reads the news that a backend server leaves.
 * @param rumour The news.
 * @param daemon The daemon that reads it.
 * @return Instance name of the server; nothing if the server is beside another daemon.
 */
[[nodiscard]] std::optional<std::string> departedInstance(const membership::Rumour &rumour, const DaemonId &daemon);

} // namespace egretlatch::decision

#endif
