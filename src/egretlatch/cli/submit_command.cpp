#include <egretlatch/cli/submit_command.hpp>

#include <QCoreApplication>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <egretlatch/cli/documents.hpp>
#include <egretlatch/cli/http_platform_port.hpp>
#include <egretlatch/core/new_incarnation.hpp>
#include <egretlatch/core/uuid.hpp>
#include <egretlatch/store/backoff.hpp>

namespace egretlatch::cli
{

namespace internal
{

using configuration::Head;
using configuration::SubmissionEnd;
using configuration::SubmissionRequest;
using configuration::SubmissionResult;

constexpr std::chrono::milliseconds initialBackoff{200};
constexpr std::chrono::seconds maxBackoff{5};

[[nodiscard]] static std::string describe(const Head &head)
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(head.submitted);
    return fmt::format("  submission {}\n  submitter  {}\n  submitted  {:%Y-%m-%d %H:%M:%S} UTC\n  hash       {}\n",
                       head.submission,
                       head.submitter.empty() ? "(not named)" : head.submitter,
                       seconds,
                       head.hash);
}

[[nodiscard]] static CommandResult describeAccepted(const SubmissionRequest &request, const SubmissionResult &result)
{
    std::string text = fmt::format("accepted: this is version {}, and stays so\n{}", request.base + 1, describe(*result.row));
    if (result.newest > request.base + 1) {
        text += fmt::format("The newest version is {} by now.\n", result.newest);
    }
    return {.code = ExitCode::success, .text = std::move(text)};
}

[[nodiscard]] static CommandResult describeConflict(const SubmissionRequest &request, const SubmissionResult &result)
{
    const std::string winner = result.row.has_value() ? describe(*result.row) : std::string{};
    std::string text = fmt::format("conflict: version {} is another submission; nothing of this one is in force or will be\n{}", request.base + 1, winner);
    text += fmt::format("Look at what changed, make the change on top of version {} and submit it with --base {}.\n", result.newest, result.newest);
    return {.code = ExitCode::conflict, .text = std::move(text)};
}

[[nodiscard]] static CommandResult describeEnd(const SubmissionRequest &request, const SubmissionResult &result)
{
    switch (result.end) {
    case SubmissionEnd::accepted:
        return describeAccepted(request, result);
    case SubmissionEnd::conflict:
        return describeConflict(request, result);
    case SubmissionEnd::baseUnknown:
        return {.code = ExitCode::badInput, .text = fmt::format("wrong base: there is no version {}; the newest is {}\n", request.base, result.newest)};
    case SubmissionEnd::baseTooOld:
        return {.code = ExitCode::conflict,
                .text = fmt::format("conflict: version {} has long been replaced; the newest is {}\n", request.base + 1, result.newest)};
    case SubmissionEnd::refused:
        break;
    }
    return {.code = ExitCode::badInput, .text = "refused: the platform does not accept the token, or does not understand the request\n"};
}

[[nodiscard]] static CommandResult describeUnfinished(const SubmissionRequest &request, const bool isOutcomeUnknown, const std::string &reason)
{
    if (!isOutcomeUnknown) {
        return {.code = ExitCode::unavailable, .text = fmt::format("not submitted: {}; nothing was changed\n", reason)};
    }
    std::string text = fmt::format("unsure: the platform did not say whether this is version {}: {}\n", request.base + 1, reason);
    text += fmt::format("Run the same command again with --submission {}; it is the same submission then.\n", request.id);
    return {.code = ExitCode::unsure, .text = std::move(text)};
}

} // namespace internal

CommandResult submit(const configuration::SubmissionRequest &request, PlatformPort &port, RandomSource &random, const Duration maxWait)
{
    configuration::Submission submission{request};
    store::Backoff backoff{internal::initialBackoff, internal::maxBackoff};
    Duration waited{};
    while (true) {
        const store::Outcome outcome = port.send(submission.request());
        const configuration::SubmissionStep step = submission.handleOutcome(outcome);
        if (step == configuration::SubmissionStep::finished) {
            return internal::describeEnd(request, submission.result());
        }
        if (step == configuration::SubmissionStep::send) {
            continue;
        }
        if (waited >= maxWait) {
            return internal::describeUnfinished(request, submission.isOutcomeUnknown(), outcome.has_value() ? "an unexpected answer" : outcome.error().message);
        }
        const Duration wait = backoff.next(random);
        waited += wait;
        port.wait(wait);
    }
}

std::unique_ptr<PlatformPort> openPlatform(const PlatformOptions &options)
{
    daemon::PlatformAccess access;
    access.url = options.url;
    std::string tokenPath = options.tokenPath;
    if (!options.settingsPath.empty()) {
        const std::optional<settings::DaemonSettings> settings = readSettings(options.settingsPath);
        if (!settings.has_value()) {
            return nullptr;
        }
        access.url = access.url.empty() ? settings->platformUrl : access.url;
        tokenPath = tokenPath.empty() ? settings->platformTokenFile : tokenPath;
    }
    if (access.url.empty()) {
        fmt::print(stderr, "egretlatch: no platform is named: give --platform URL, or --settings FILE with platformUrl\n");
        return nullptr;
    }
    std::optional<Secret> token = readToken(tokenPath);
    if (!token.has_value()) {
        return nullptr;
    }
    access.token = std::move(*token);
    return std::make_unique<HttpPlatformPort>(std::move(access));
}

int runSubmit(const SubmitOptions &options, int argc, char **argv)
{
    if (readManifest(options.manifestPath) == nullptr) {
        return ExitCode::badInput;
    }
    const std::optional<QByteArray> manifest = readFile(options.manifestPath);
    const QCoreApplication application{argc, argv};
    const std::unique_ptr<PlatformPort> port = openPlatform(options.platform);
    if (port == nullptr || !manifest.has_value()) {
        return ExitCode::badInput;
    }
    SeededRandom random{randomSeed()};
    const SystemClock clock;
    configuration::SubmissionRequest request;
    request.base = options.base;
    request.manifest = *manifest;
    request.id = options.submission.empty() ? UuidGenerator{random}.generate(clock.wallNow()).toString() : options.submission;
    request.submitter = options.submitter;
    request.submitted = clock.wallNow();
    const CommandResult result = submit(request, *port, random, std::chrono::seconds{options.timeoutSeconds});
    fmt::print("{}", result.text);
    return result.code;
}

} // namespace egretlatch::cli
