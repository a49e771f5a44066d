#include <egretlatch/settings/common_readers.hpp>

namespace egretlatch::settings
{

Policy readPolicy(JsonObjectReader &reader)
{
    const std::string choice = reader.choice("policy", {"adaptive", "none", "static-limit", "priority-only"}, "adaptive");
    if (choice == "none") {
        return Policy::none;
    }
    if (choice == "static-limit") {
        return Policy::staticLimit;
    }
    return choice == "priority-only" ? Policy::priorityOnly : Policy::adaptive;
}

LogLevel readLogLevel(JsonObjectReader &reader)
{
    const std::string choice = reader.choice("logLevel", {"debug", "info", "warning", "error"}, "info");
    return logLevelFromString(choice).value_or(LogLevel::info);
}

} // namespace egretlatch::settings
