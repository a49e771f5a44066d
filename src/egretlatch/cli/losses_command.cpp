#include <egretlatch/cli/losses_command.hpp>

#include <fmt/format.h>

#include <egretlatch/cli/exit_code.hpp>
#include <egretlatch/cli/log_file.hpp>
#include <egretlatch/cli/loss_table.hpp>

namespace egretlatch::cli
{

int runLosses(const LossesOptions &options)
{
    LossTable table{std::chrono::seconds{options.seconds}};
    for (const std::string &path : options.logs) {
        const Result<QByteArray> log = readLog(path);
        if (!log.has_value()) {
            fmt::print(stderr, "egretlatch: {}\n", log.error().message);
            return ExitCode::badInput;
        }
        table.read(*log);
    }
    const CommandResult result = options.isJson ? table.asJson() : table.asText();
    fmt::print("{}", result.text);
    return result.code;
}

} // namespace egretlatch::cli
