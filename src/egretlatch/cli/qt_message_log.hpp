#ifndef EGRETLATCH_CLI_QT_MESSAGE_LOG_HPP
#define EGRETLATCH_CLI_QT_MESSAGE_LOG_HPP

#include <egretlatch/core/logger.hpp>

namespace egretlatch::cli
{

/**
 * @brief Writes the messages of Qt, of all threads, as lines of a log for its lifetime. There may be one object at a time.
 *
 * Qt writes them to standard error by itself, between the lines of the log, which are JSON.
 */
class QtMessageLog
{
public:
    /**
     * @brief Takes over Qt's messages.
     * @param logger Receives the lines; must outlive this object, and be thread-safe.
     */
    explicit QtMessageLog(const Logger &logger);
    QtMessageLog(const QtMessageLog &) = delete;
    QtMessageLog &operator=(const QtMessageLog &) = delete;

    /*! @brief Gives the messages back to Qt. */
    ~QtMessageLog();
};

} // namespace egretlatch::cli

#endif
