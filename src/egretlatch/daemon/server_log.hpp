#ifndef EGRETLATCH_DAEMON_SERVER_LOG_HPP
#define EGRETLATCH_DAEMON_SERVER_LOG_HPP

#include <egretlatch/core/logger.hpp>
#include <egretlatch/decision/action.hpp>

namespace egretlatch::daemon
{

/**
 * @brief Logs an action that reports on the local backend server.
 * @param logger Logger of the daemon.
 * @param action The action.
 * @return False if the action is another one.
 */
bool logServerAction(const Logger &logger, const decision::Action &action);

} // namespace egretlatch::daemon

#endif
