#ifndef EGRETLATCH_SIDECAR_REQUEST_LOG_HPP
#define EGRETLATCH_SIDECAR_REQUEST_LOG_HPP

#include <egretlatch/core/logger.hpp>
#include <egretlatch/decision/action.hpp>

namespace egretlatch::sidecar
{

/*! @brief Writes the lines that tell what became of single requests; `explain --log` reads them. */
class RequestLog
{
public:
    /**
     * @brief Builds the log.
     * @param logger Takes the lines; must outlive it.
     */
    explicit RequestLog(const Logger &logger)
        : m_logger{logger}
    {
    }

    /**
     * @brief Writes that a caller got a refusal.
     * @param refused The refusal.
     */
    void write(const decision::RecordRefusal &refused) const;

    /**
     * @brief Writes what else happened to a request.
     * @param note What happened.
     */
    void write(const decision::LogRequest &note) const;

private:
    const Logger &m_logger;
};

} // namespace egretlatch::sidecar

#endif
