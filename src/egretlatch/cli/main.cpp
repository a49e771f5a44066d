#include <malloc.h>

#include <CLI/CLI.hpp>

#include <fmt/format.h>

#include <egretlatch/cli/daemon_command.hpp>
#include <egretlatch/cli/documents.hpp>
#include <egretlatch/cli/exit_code.hpp>
#include <egretlatch/cli/explain_command.hpp>
#include <egretlatch/cli/key_digest_command.hpp>
#include <egretlatch/cli/keys_command.hpp>
#include <egretlatch/cli/losses_command.hpp>
#include <egretlatch/cli/sidecar_command.hpp>
#include <egretlatch/cli/status_command.hpp>
#include <egretlatch/cli/submit_command.hpp>

namespace
{

using namespace egretlatch::cli;

constexpr const char *versionText = "egretlatch 0.1.0, inner protocol 1";
constexpr const char *exitCodes = "Exit codes: 0 success; 1 something outside is unavailable, nothing changed; 2 wrong command line,\n"
                                  "settings, manifest or token; 3 another submission was accepted first; 4 no such refusal;\n"
                                  "5 the platform did not confirm whether a submission was accepted; 6 a daemon lags or did not answer.";

[[nodiscard]] int check(const std::string &settingsPath, const std::string &manifestPath)
{
    bool isValid = true;
    if (!settingsPath.empty()) {
        isValid = readSettings(settingsPath).has_value();
    }
    if (!manifestPath.empty()) {
        isValid = readManifest(manifestPath) != nullptr && isValid;
    }
    if (isValid) {
        fmt::print("no errors\n");
    }
    return isValid ? ExitCode::success : ExitCode::badInput;
}

void addPlatformOptions(CLI::App &command, PlatformOptions &options)
{
    command.add_option("--platform", options.url, "Base URL of the platform's table and object store");
    command.add_option("--settings", options.settingsPath, "Settings file of a daemon, instead of --platform and --token-file");
    command.add_option("--token-file", options.tokenPath, "File with the token for the platform");
}

CLI::App *addSubmit(CLI::App &app, SubmitOptions &options)
{
    CLI::App *const command = app.add_subcommand("submit", "Submit a manifest as the version after the one it was made from.");
    command->add_option("--manifest", options.manifestPath, "Manifest (JSON)")->required();
    command->add_option("--base", options.base, "Version that the manifest was made from; 0 for the first")->required();
    addPlatformOptions(*command, options.platform);
    command->add_option("--submission", options.submission, "Id of an earlier submission that ended unsure, to resume it");
    command->add_option("--submitter", options.submitter, "Your name, shown to an operator whose submission conflicts with yours");
    command->add_option("--timeout-s", options.timeoutSeconds, "Maximum time to wait for the platform, in seconds")->check(CLI::Range(0, 3600));
    command->footer("Example: egretlatch submit --manifest launch.json --base 12 --settings /etc/egretlatch/daemon.json --submitter anna\n"
                    "The version after the base is given to one submission, permanently; a conflict (3) names the winner.\n"
                    "If the result is unsure (5), run the same command again with the --submission that it printed.");
    return command;
}

CLI::App *addStatus(CLI::App &app, StatusOptions &options)
{
    CLI::App *const command = app.add_subcommand("status", "Show which configuration is in force on which daemon.");
    command->add_option("--daemon", options.daemons, "Base URL of a daemon; may be given more than once")->required();
    command->add_option("--token-file", options.tokenPath, "File with the operators' token");
    command->footer("Example: egretlatch status --daemon http://10.0.0.5:8000 --daemon http://10.0.1.5:8000 --token-file operators.token\n"
                    "Each of these daemons reports its own version; for the others it reports the version last received, and when.");
    return command;
}

CLI::App *addExplain(CLI::App &app, ExplainOptions &options)
{
    CLI::App *const command = app.add_subcommand("explain", "Explain why a request was refused, or summarize the refusals of a period.");
    command->add_option("id", options.id, "Id of a refusal, from the answer; with --log, the name of a request");
    command->add_option("--kind", options.kind, "Summarize only this SERVICE/KIND");
    command->add_option("--since", options.since, "Start of the period, such as 2026-12-02T22:00:00Z");
    command->add_option("--until", options.until, "End of the period; by default now");
    command->add_flag("--json", options.isJson, "Print all fields as JSON");
    command->add_option(
        "--log", options.logs, "Log of a daemon, or - for standard input, from which to show the timeline of a request; may be given more than once");
    addPlatformOptions(*command, options.platform);
    command->add_option("--daemon", options.daemons, "Base URL of a daemon to query for a refusal that is not stored yet");
    command->add_option("--operator-token-file", options.operatorTokenPath, "File with the operators' token, for --daemon");
    command->footer("Example: egretlatch explain 019ae1f2-7c40-7a3b-9d11-0c5d2f6e8a90 --settings /etc/egretlatch/daemon.json\n"
                    "Example: egretlatch explain --kind launch-log/launch-entry --since 2026-12-02T06:00:00Z --settings daemon.json\n"
                    "Example: cat *.log | egretlatch explain b77583f432619917 --log -");
    return command;
}

CLI::App *addLosses(CLI::App &app, LossesOptions &options)
{
    CLI::App *const command = app.add_subcommand("losses", "Summarize refused requests from logs by time, kind, reason and daemon.");
    command->add_option("--log", options.logs, "Log of a daemon, or - for standard input; may be given more than once")->required();
    command->add_option("--seconds", options.seconds, "Length of the intervals over which losses are summed")->check(CLI::PositiveNumber);
    command->add_flag("--json", options.isJson, "Print the table as JSON");
    command->footer("Example: cat *.log | egretlatch losses --log - --seconds 10");
    return command;
}

/*!
 * @brief Has the memory of long bodies returned to the system as soon as they are freed.
 *
 * The C library raises its thresholds with each long block that is freed, and would keep up to 64 MiB from then on.
 */
void returnLongBlocks()
{
    constexpr int longBlockBytes = 256 * 1024;
    constexpr int keptBytes = 1024 * 1024;
    mallopt(M_MMAP_THRESHOLD, longBlockBytes);
    mallopt(M_TRIM_THRESHOLD, keptBytes);
}

} // namespace

int main(int argc, char **argv)
{
    returnLongBlocks();
    CLI::App app{"Overload control for service call graphs."};
    app.footer(exitCodes);
    app.require_subcommand(1);
    int result = ExitCode::success;

    std::string settingsPath;
    CLI::App *const daemon = app.add_subcommand("daemon", "Run the daemon of a backend server until SIGTERM.");
    daemon->add_option("--settings", settingsPath, "Settings file (JSON)")->required();
    daemon->footer("Example: egretlatch daemon --settings /etc/egretlatch/daemon.json");

    CLI::App *const sidecar = app.add_subcommand("sidecar", "Run the daemon on a VM managed by the users' platform, until SIGTERM.");
    sidecar->add_option("--settings", settingsPath, "Settings file (JSON)")->envname("EGRETLATCH_NODE_FILE")->required();
    sidecar->footer("Example: EGRETLATCH_NODE_FILE=/etc/egretlatch/local.yaml egretlatch sidecar");

    std::string manifestPath;
    CLI::App *const checkCommand = app.add_subcommand("check", "Validate settings or a manifest without using them.");
    checkCommand->add_option("--settings", settingsPath, "Settings file (JSON)");
    checkCommand->add_option("--manifest", manifestPath, "Manifest (JSON)");
    checkCommand->require_option(1, 2);
    checkCommand->footer("Example: egretlatch check --manifest examples/gliding-union.json");

    CLI::App *const keys = app.add_subcommand("keys", "Generate a key pair for the connections between daemons and print it as JSON.");
    keys->footer("Example: egretlatch keys > /etc/egretlatch/peer-keys.json");
    CLI::App *const keyDigest = app.add_subcommand("key-digest", "Print the digest of an API key for a manifest; the key is read from standard input.");
    keyDigest->footer("Example: egretlatch key-digest < club.key");
    SubmitOptions submitOptions;
    CLI::App *const submit = addSubmit(app, submitOptions);
    StatusOptions statusOptions;
    CLI::App *const status = addStatus(app, statusOptions);

    ExplainOptions explainOptions;
    CLI::App *const explain = addExplain(app, explainOptions);

    LossesOptions lossesOptions;
    CLI::App *const losses = addLosses(app, lossesOptions);

    CLI::App *const version = app.add_subcommand("version", "Print the version.");
    version->footer("Example: egretlatch version");

    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? ExitCode::success : ExitCode::badInput;
    }
    if (daemon->parsed()) {
        result = runDaemon(settingsPath, argc, argv);
    } else if (sidecar->parsed()) {
        result = runSidecar(settingsPath, argc, argv);
    } else if (checkCommand->parsed()) {
        result = check(settingsPath, manifestPath);
    } else if (keys->parsed()) {
        result = makeKeys();
    } else if (keyDigest->parsed()) {
        result = printKeyDigest();
    } else if (submit->parsed()) {
        result = runSubmit(submitOptions, argc, argv);
    } else if (status->parsed()) {
        result = runStatus(statusOptions, argc, argv);
    } else if (explain->parsed()) {
        result = runExplain(explainOptions, argc, argv);
    } else if (losses->parsed()) {
        result = runLosses(lossesOptions);
    } else if (version->parsed()) {
        fmt::print("{}\n", versionText);
    }
    return result;
}
