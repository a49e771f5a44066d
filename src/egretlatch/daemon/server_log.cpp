#include <egretlatch/daemon/server_log.hpp>

#include <fmt/format.h>

namespace egretlatch::daemon
{

bool logServerAction(const Logger &logger, const decision::Action &action)
{
    if (const auto *const crashed = std::get_if<decision::ServerCrashed>(&action)) {
        logger.warning("backend server crashed", {{"service", crashed->service}, {"running", crashed->running}});
        return true;
    }
    if (const auto *const quarantined = std::get_if<decision::RequestQuarantined>(&action)) {
        logger.warning("request quarantined",
                       {{"content", fmt::format("{:016x}", quarantined->request.content)},
                        {"caller", fmt::format("{:016x}", quarantined->request.caller)},
                        {"crashes", quarantined->evidence.crashes},
                        {"broken", quarantined->evidence.broken},
                        {"callers", quarantined->evidence.callers}});
        return true;
    }
    if (const auto *const read = std::get_if<decision::SuspectRead>(&action)) {
        logger.info("suspect request known from before", {{"content", fmt::format("{:016x}", read->content)}, {"crashes", read->crashes}});
        return true;
    }
    if (const auto *const limit = std::get_if<decision::ServerLimitChanged>(&action)) {
        logger.info("server limit", {{"perSecond", limit->perSecond.has_value() ? fmt::format("{}", *limit->perSecond) : std::string{"none"}}});
        return true;
    }
    if (const auto *const leaving = std::get_if<decision::ServerLeavingNoticed>(&action)) {
        logger.info("server says in an answer that it leaves", {{"instance", leaving->instance}});
        return true;
    }
    if (const auto *const forgotten = std::get_if<decision::SuspectsForgotten>(&action)) {
        logger.warning("suspect requests forgotten: too many", {{"total", forgotten->total}});
        return true;
    }
    if (const auto *const dropped = std::get_if<decision::CrashReportDropped>(&action)) {
        logger.warning("crash report not shared: too many are valid", {{"report", dropped->report}});
        return true;
    }
    return false;
}

} // namespace egretlatch::daemon
