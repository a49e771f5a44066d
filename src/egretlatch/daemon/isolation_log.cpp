#include <egretlatch/daemon/isolation_log.hpp>

namespace egretlatch::daemon
{

void logIsolation(const Logger &logger, const decision::IsolationChanged &changed)
{
    const auto silenceMs = std::chrono::duration_cast<std::chrono::milliseconds>(changed.change.silence).count();
    if (changed.change.isIsolated) {
        logger.warning("isolated", {{"silenceMs", silenceMs}, {"expected", changed.expected}, {"present", changed.present}});
    } else {
        logger.info("no longer isolated", {{"silenceMs", silenceMs}, {"expected", changed.expected}, {"present", changed.present}});
    }
}

} // namespace egretlatch::daemon
