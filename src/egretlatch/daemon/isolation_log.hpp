#ifndef EGRETLATCH_DAEMON_ISOLATION_LOG_HPP
#define EGRETLATCH_DAEMON_ISOLATION_LOG_HPP

#include <egretlatch/core/logger.hpp>
#include <egretlatch/decision/action.hpp>

namespace egretlatch::daemon
{

/**
 * @brief Writes the log line of a begin (warning) or end (info) of this daemon's isolation.
 * @param logger Receives the line.
 * @param changed The change.
 */
void logIsolation(const Logger &logger, const decision::IsolationChanged &changed);

} // namespace egretlatch::daemon

#endif
