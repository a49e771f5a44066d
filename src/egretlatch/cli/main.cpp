#include <CLI/CLI.hpp>

#include <fmt/format.h>

#include <egretlatch/cli/daemon_command.hpp>
#include <egretlatch/cli/documents.hpp>
#include <egretlatch/cli/exit_code.hpp>
#include <egretlatch/cli/keys_command.hpp>

namespace
{

constexpr const char *versionText = "egretlatch 0.1.0, inner protocol 1";
constexpr const char *exitCodes = "Exit codes: 0 success, 1 something outside cannot be had, 2 wrong command line, settings or manifest,\n"
                                  "3 another submission was accepted first, 4 no such refusal.";

[[nodiscard]] int check(const std::string &settingsPath, const std::string &manifestPath)
{
    bool isGood = true;
    if (!settingsPath.empty()) {
        isGood = egretlatch::cli::readSettings(settingsPath).has_value();
    }
    if (!manifestPath.empty()) {
        isGood = egretlatch::cli::readManifest(manifestPath) != nullptr && isGood;
    }
    if (isGood) {
        fmt::print("no errors\n");
    }
    return isGood ? egretlatch::cli::success : egretlatch::cli::badInput;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app{"Overload control for service call graphs."};
    app.footer(exitCodes);
    app.require_subcommand(1);
    int result = egretlatch::cli::success;

    std::string settingsPath;
    CLI::App *const daemon = app.add_subcommand("daemon", "Run the daemon beside a backend server until SIGTERM.");
    daemon->add_option("--settings", settingsPath, "Settings file (JSON)")->required();
    daemon->footer("Example: egretlatch daemon --settings /etc/egretlatch/daemon.json");

    std::string manifestPath;
    CLI::App *const checkCommand = app.add_subcommand("check", "Check settings or a manifest without using them.");
    checkCommand->add_option("--settings", settingsPath, "Settings file (JSON)");
    checkCommand->add_option("--manifest", manifestPath, "Manifest (JSON)");
    checkCommand->require_option(1, 2);
    checkCommand->footer("Example: egretlatch check --manifest examples/gliding-union.json");

    CLI::App *const keys = app.add_subcommand("keys", "Make a key pair for the connections between daemons and print it as JSON.");
    keys->footer("Example: egretlatch keys > /etc/egretlatch/peer-keys.json");

    CLI::App *const version = app.add_subcommand("version", "Print the version.");
    version->footer("Example: egretlatch version");

    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? egretlatch::cli::success : egretlatch::cli::badInput;
    }
    if (daemon->parsed()) {
        result = egretlatch::cli::runDaemon(settingsPath, argc, argv);
    } else if (checkCommand->parsed()) {
        result = check(settingsPath, manifestPath);
    } else if (keys->parsed()) {
        result = egretlatch::cli::makeKeys();
    } else if (version->parsed()) {
        fmt::print("{}\n", versionText);
    }
    return result;
}
