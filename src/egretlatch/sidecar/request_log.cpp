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

void RequestLog::write(const decision::LogRequest &note) const
{
    m_logger.info(note.event,
                  {{"request", note.requestName},
                   {"service", note.service},
                   {"kind", note.kind},
                   {"server", note.server.value},
                   {"reason", note.reason},
                   {"elapsedMs", std::chrono::duration_cast<std::chrono::milliseconds>(note.elapsed).count()}});
}

} // namespace egretlatch::sidecar
