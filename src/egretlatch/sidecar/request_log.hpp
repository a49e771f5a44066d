#ifndef EGRETLATCH_SIDECAR_REQUEST_LOG_HPP
#define EGRETLATCH_SIDECAR_REQUEST_LOG_HPP

#include <egretlatch/core/logger.hpp>
#include <egretlatch/decision/action.hpp>

namespace egretlatch::sidecar
{

/*! @brief Logs the outcome of individual requests; `explain --log` reads these lines. */
class RequestLog
{
public:
    /**
     * @brief Builds the log.
     * @param logger Receives the lines; must outlive it.
     */
    explicit RequestLog(const Logger &logger)
        : m_logger{logger}
    {
    }

    /**
     * @brief Logs a refusal that a caller received.
     * @param refused The refusal.
     */
    void write(const decision::RecordRefusal &refused) const;

    /**
     * @brief Logs any other event of a request.
     * @param entry The event.
     */
    void write(const decision::LogRequest &entry) const;

private:
    const Logger &m_logger;
};

} // namespace egretlatch::sidecar

#endif
