#include <egretlatch/core/logger.hpp>

#include <array>
#include <chrono>
#include <cstdio>

#include <fmt/chrono.h>

namespace egretlatch
{

namespace internal
{

constexpr std::array<std::string_view, 4> levelNames{"debug", "info", "warning", "error"};

static void appendQuoted(std::string &line, const std::string_view text)
{
    constexpr unsigned char firstPrintable = 0x20;
    line.push_back('"');
    for (const char character : text) {
        if (character == '"' || character == '\\') {
            line.push_back('\\');
            line.push_back(character);
        } else if (static_cast<unsigned char>(character) < firstPrintable) {
            fmt::format_to(std::back_inserter(line), "\\u{:04x}", static_cast<unsigned char>(character));
        } else {
            line.push_back(character);
        }
    }
    line.push_back('"');
}

class StandardErrorSink final : public LogSink
{
public:
    void write(std::string_view /*event*/, const std::string &line) override
    {
        // One write per line, so that lines of several threads do not interleave.
        std::fwrite(line.data(), 1, line.size(), stderr);
    }
};

} // namespace internal

std::optional<LogLevel> logLevelFromString(const std::string_view name) noexcept
{
    for (std::size_t index = 0; index < internal::levelNames.size(); ++index) {
        if (internal::levelNames[index] == name) {
            return static_cast<LogLevel>(index);
        }
    }
    return std::nullopt;
}

std::string Logger::line(const LogLevel level, const std::string_view event, const std::initializer_list<LogField> fields) const
{
    const auto now = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto millisecond = now.time_since_epoch().count() % 1000;
    std::string line = fmt::format(R"({{"time":"{:%FT%T}.{:03}Z","level":"{}","source":)",
                                   fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                                   millisecond,
                                   internal::levelNames[static_cast<std::size_t>(level)]);
    internal::appendQuoted(line, m_source);
    line += R"(,"event":)";
    internal::appendQuoted(line, event);
    for (const LogField &field : fields) {
        line.push_back(',');
        internal::appendQuoted(line, field.name);
        line.push_back(':');
        internal::appendQuoted(line, field.value);
    }
    line.append("}\n");
    return line;
}

void Logger::log(const LogLevel level, const std::string_view event, const std::initializer_list<LogField> fields) const
{
    if (level >= m_minLevel) {
        m_sink.write(event, line(level, event, fields));
    }
}

LogSink &standardErrorSink()
{
    static internal::StandardErrorSink sink;
    return sink;
}

} // namespace egretlatch
