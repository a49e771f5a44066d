#include <load/load_command.hpp>

#include <cstdlib>
#include <thread>

#include <sys/resource.h>

#include <QFile>

#include <fmt/format.h>

#include <egretlatch/cli/documents.hpp>

#include <load/fault_injector.hpp>
#include <load/load_worker.hpp>
#include <load/mesh.hpp>
#include <load/result_document.hpp>
#include <load/schedule.hpp>

namespace standin::load
{

namespace internal
{

constexpr std::chrono::milliseconds startDelay{200};
constexpr std::uint64_t seedStride = 1'000'003;

[[nodiscard]] static std::optional<Scenario> readScenario(const LoadOptions &options)
{
    const std::optional<QByteArray> text = egretlatch::cli::readFile(options.scenarioPath);
    if (!text.has_value()) {
        return std::nullopt;
    }
    tl::expected<Scenario, egretlatch::settings::Problems> scenario = parseScenario(*text);
    if (!scenario.has_value()) {
        for (const egretlatch::settings::Problem &problem : scenario.error()) {
            fmt::print(stderr, "{}\n", egretlatch::settings::toLine(options.scenarioPath, problem));
        }
        return std::nullopt;
    }
    if (options.seed != 0) {
        scenario->seed = options.seed;
    }
    return *scenario;
}

[[nodiscard]] static std::optional<std::vector<RequestKind>> resolveKinds(const Scenario &scenario, const egretlatch::manifest::Manifest &manifest)
{
    std::vector<RequestKind> kinds;
    for (const KindShare &share : scenario.kinds) {
        const egretlatch::manifest::KindSpec *const spec = manifest.findKind(share.service, share.kind);
        if (spec == nullptr) {
            fmt::print(stderr, "the manifest declares no kind {} of service {}\n", share.kind, share.service);
            return std::nullopt;
        }
        kinds.push_back({
            .name = fmt::format("{}/{}", share.service, share.kind),
            .worth = spec->worth,
            .idempotent = spec->idempotent,
            .timeout = scenario.callers.timeout.count() == 0 ? spec->deadline : scenario.callers.timeout,
        });
    }
    return kinds;
}

/*! @brief Raises the limit of open files to the hard limit: every concurrent request needs a socket, and the usual soft limit is 1024. */
static void raiseFileLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        static_cast<void>(setrlimit(RLIMIT_NOFILE, &limit));
    }
}

[[nodiscard]] static std::vector<Schedule> split(const Schedule &schedule, const int parts)
{
    std::vector<Schedule> result(static_cast<std::size_t>(parts));
    for (std::size_t index = 0; index < schedule.size(); ++index) {
        result[index % result.size()].push_back(schedule[index]);
    }
    return result;
}

[[nodiscard]] static bool writeFile(const std::string &path, const QByteArray &bytes)
{
    QFile file{QString::fromStdString(path)};
    if (!file.open(QIODevice::WriteOnly) || file.write(bytes) != bytes.size()) {
        fmt::print(stderr, "cannot write {}\n", path);
        return false;
    }
    return true;
}

[[nodiscard]] static egretlatch::SteadyTime startTime(const LoadOptions &options)
{
    const egretlatch::SteadyTime now = std::chrono::steady_clock::now();
    if (options.startAtMs == 0) {
        return now + startDelay;
    }
    const egretlatch::WallTime startAt{std::chrono::milliseconds{options.startAtMs}};
    return now + std::chrono::duration_cast<egretlatch::Duration>(startAt - std::chrono::system_clock::now());
}

/*! @brief Runs each worker and the fault injector on its own thread, and waits for all of them. */
static void runAll(std::vector<std::unique_ptr<LoadWorker>> &workers, FaultInjector &injector)
{
    std::vector<std::thread> threads;
    threads.reserve(workers.size() + 1);
    for (const std::unique_ptr<LoadWorker> &worker : workers) {
        threads.emplace_back(&LoadWorker::run, worker.get());
    }
    threads.emplace_back(&FaultInjector::run, &injector);
    for (std::thread &thread : threads) {
        thread.join();
    }
}

[[nodiscard]] static int writeResults(const LoadOptions &options, const FinishedRun &run, const std::vector<std::unique_ptr<LoadWorker>> &workers)
{
    fmt::print("{}", toTable(run));
    bool isWritten = writeFile(options.outPath, toJson(run));
    if (!options.historyPath.empty()) {
        QByteArray lines;
        for (const std::unique_ptr<LoadWorker> &worker : workers) {
            lines += toHistoryLines(run.kinds, worker->history());
        }
        isWritten = writeFile(options.historyPath, lines) && isWritten;
    }
    return isWritten ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace internal

int runLoad(const LoadOptions &options)
{
    const std::optional<Scenario> scenario = internal::readScenario(options);
    const std::optional<QByteArray> meshText = egretlatch::cli::readFile(options.meshPath);
    if (!scenario.has_value() || !meshText.has_value()) {
        return EXIT_FAILURE;
    }
    const Mesh mesh = parseMesh(*meshText);
    const std::string manifestPath = options.manifestPath.empty() ? mesh.manifestPath : options.manifestPath;
    const std::shared_ptr<const egretlatch::manifest::Manifest> manifest = egretlatch::cli::readManifest(manifestPath);
    if (manifest == nullptr || mesh.entries.empty()) {
        return EXIT_FAILURE;
    }
    const std::optional<std::vector<RequestKind>> kinds = internal::resolveKinds(*scenario, *manifest);
    if (!kinds.has_value()) {
        return EXIT_FAILURE;
    }
    internal::raiseFileLimit();
    egretlatch::SeededRandom random{scenario->seed};
    const std::vector<Schedule> parts = internal::split(makeSchedule(*scenario, random), options.workers);
    const RunPlan plan{
        .kinds = *kinds,
        .callers = scenario->callers,
        .entries = mesh.entries,
        .start = internal::startTime(options),
        .keepsHistory = !options.historyPath.empty(),
    };
    std::vector<std::unique_ptr<LoadWorker>> workers;
    for (int workerIndex = 0; workerIndex < options.workers; ++workerIndex) {
        const std::uint64_t seed = scenario->seed * internal::seedStride + static_cast<std::uint64_t>(workerIndex);
        workers.push_back(std::make_unique<LoadWorker>(plan, parts[static_cast<std::size_t>(workerIndex)], seed, workerIndex));
    }
    FaultInjector injector{mesh, scenario->faults, plan.start};
    const egretlatch::WallTime startedAt =
        std::chrono::system_clock::now() + std::chrono::duration_cast<egretlatch::WallTime::duration>(plan.start - std::chrono::steady_clock::now());
    internal::runAll(workers, injector);
    FinishedRun run{.scenario = *scenario, .kinds = *kinds, .result = {}, .startedAt = startedAt, .workers = options.workers};
    for (const std::unique_ptr<LoadWorker> &worker : workers) {
        run.result.add(worker->result());
    }
    return internal::writeResults(options, run, workers);
}

} // namespace standin::load
