#include <egretlatch/sidecar/request_log.hpp>

namespace egretlatch::sidecar
{

void RequestLog::write(const decision::RecordRefusal &refused) const
{
    const account::RefusalRecord &record = refused.record;
    m_logger.info("refused",
                  {{"request", refused.requestName},
                   {"depth", refused.depth},
                   {"service", record.service},
                   {"kind", record.kind},
                   {"account", refused.account},
                   {"priority", record.priority},
                   {"worth", record.worth},
                   {"reason", account::toString(record.refusal.reason)},
                   {"rule", record.refusal.rule},
                   {"server", refused.server.value},
                   {"elapsedMs", std::chrono::duration_cast<std::chrono::milliseconds>(refused.elapsed).count()},
                   {"figures", account::toText(record.refusal.figures)},
                   {"verdict", toString(record.verdict)},
                   {"retryAfterMs", record.refusal.retryAfter.count()},
                   {"configuration", record.refusal.configurationVersion}});
}

void RequestLog::write(const decision::LogRequest &entry) const
{
    m_logger.info(entry.event,
                  {{"request", entry.requestName},
                   {"service", entry.service},
                   {"kind", entry.kind},
                   {"server", entry.server.value},
                   {"reason", entry.reason},
                   {"elapsedMs", std::chrono::duration_cast<std::chrono::milliseconds>(entry.elapsed).count()}});
}

} // namespace egretlatch::sidecar
