#include <egretlatch/settings/common_readers.hpp>

namespace egretlatch::settings
{

Policy readPolicy(JsonObjectReader &reader)
{
    const std::string word = reader.word("policy", {"adaptive", "none", "static-limit", "priority-only"}, "adaptive");
    if (word == "none") {
        return Policy::none;
    }
    if (word == "static-limit") {
        return Policy::staticLimit;
    }
    return word == "priority-only" ? Policy::priorityOnly : Policy::adaptive;
}

LogLevel readLogLevel(JsonObjectReader &reader)
{
    const std::string word = reader.word("logLevel", {"debug", "info", "warning", "error"}, "info");
    return logLevelFromString(word).value_or(LogLevel::info);
}

} // namespace egretlatch::settings
