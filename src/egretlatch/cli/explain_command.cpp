#include <egretlatch/cli/explain_command.hpp>

#include <functional>
#include <map>

#include <QCoreApplication>
#include <QDateTime>
#include <QJsonDocument>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <egretlatch/cli/documents.hpp>
#include <egretlatch/cli/http_fetch.hpp>
#include <egretlatch/cli/log_file.hpp>
#include <egretlatch/cli/request_timeline.hpp>
#include <egretlatch/store/backoff.hpp>

namespace egretlatch::cli
{

namespace internal
{

constexpr int namesPerPage = 1000;
constexpr int maxAttempts = 10;
constexpr std::chrono::milliseconds initialBackoff{50};
constexpr std::chrono::seconds maxBackoff{2};

using BatchVisitor = std::function<bool(const account::AccountBatch &)>;

/*! @brief Reads the stored refusals (the account); stops permanently at the first request that still fails after its retries. */
class AccountReader
{
public:
    AccountReader(PlatformPort &port, RandomSource &random)
        : m_port{port}
        , m_random{random}
    {
    }

    // Visits the batches whose names have the prefix and lie after `after` and before `end`; the visitor returns false to stop.
    void visit(const std::string &prefix, std::string after, const std::string &end, const BatchVisitor &visitor)
    {
        while (true) {
            const std::optional<store::Reply> reply = send(store::ObjectList{.prefix = prefix, .after = after, .limit = namesPerPage});
            const auto *const names = reply.has_value() ? std::get_if<store::NamesReply>(&*reply) : nullptr;
            if (names == nullptr || names->names.empty()) {
                return;
            }
            for (const std::string &name : names->names) {
                if ((!end.empty() && name >= end) || !visitBatch(name, visitor)) {
                    return;
                }
            }
            after = names->names.back();
        }
    }

    [[nodiscard]] const std::string &failure() const noexcept
    {
        return m_failure;
    }

    [[nodiscard]] int unreadableBatches() const noexcept
    {
        return m_unreadableBatches;
    }

private:
    [[nodiscard]] bool visitBatch(const std::string &name, const BatchVisitor &visitor)
    {
        const std::optional<store::Reply> reply = send(store::ObjectGet{.name = name});
        if (!reply.has_value()) {
            return false;
        }
        const auto *const object = std::get_if<store::ObjectReply>(&*reply);
        const std::optional<account::AccountBatch> batch = object == nullptr ? std::nullopt : account::decodeBatch(object->bytes);
        if (!batch.has_value()) {
            ++m_unreadableBatches;
            return true;
        }
        return visitor(*batch);
    }

    [[nodiscard]] std::optional<store::Reply> send(const store::Request &request)
    {
        store::Backoff backoff{initialBackoff, maxBackoff};
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            store::Outcome outcome = m_port.send(request);
            if (outcome.has_value()) {
                return std::move(*outcome);
            }
            m_failure = outcome.error().message;
            if (outcome.error().code == ErrorCode::forbidden || outcome.error().code == ErrorCode::notFound) {
                return std::nullopt;
            }
            m_port.wait(backoff.next(m_random));
            m_failure = attempt + 1 == maxAttempts ? m_failure : std::string{};
        }
        return std::nullopt;
    }

    PlatformPort &m_port;
    RandomSource &m_random;
    std::string m_failure;
    int m_unreadableBatches{};
};

[[nodiscard]] static std::string toText(const WallTime time)
{
    return fmt::format("{:%Y-%m-%d %H:%M:%S}", std::chrono::floor<std::chrono::seconds>(time));
}

[[nodiscard]] static std::string describe(const DaemonId &daemon, const account::DroppedRefusals &gap)
{
    return fmt::format("{} could not keep {} refusals between {} and {} UTC", daemon.value, gap.count, toText(gap.first), toText(gap.last));
}

/*! @brief Key by which refusals are counted. */
struct RefusalGroup
{
    std::string kind;
    std::string reason;
    std::string verdict;

    friend auto operator<=>(const RefusalGroup &, const RefusalGroup &) = default;
};

/*! @brief Counts of the refusals that match a query, and the gaps in the record. */
struct RefusalSummary
{
    std::map<RefusalGroup, std::uint64_t> counts;
    std::vector<std::string> gaps;
    std::uint64_t total{};
};

static void add(const account::AccountBatch &batch, const RefusalQuery &query, RefusalSummary &summary)
{
    for (const account::RefusalRecord &record : batch.refusals) {
        const std::string kind = record.service + "/" + record.kind;
        const bool isInRange = record.time >= query.since && record.time < query.until;
        if (!isInRange || (!query.kind.empty() && query.kind != kind)) {
            continue;
        }
        const RefusalGroup key{.kind = kind, .reason = std::string{toString(record.refusal.reason)}, .verdict = std::string{toString(record.verdict)}};
        ++summary.counts[key];
        ++summary.total;
    }
    for (const account::DroppedRefusals &gap : batch.dropped) {
        summary.gaps.push_back(describe(batch.daemon, gap));
    }
}

[[nodiscard]] static std::optional<WallTime> parseTime(const std::string &text)
{
    const QDateTime time = QDateTime::fromString(QString::fromStdString(text), Qt::ISODate);
    if (!time.isValid()) {
        return std::nullopt;
    }
    return WallTime{std::chrono::milliseconds{time.toMSecsSinceEpoch()}};
}

// Refusals of the last minute are not stored yet; only the daemons hold them.
[[nodiscard]] static std::optional<account::RefusalRecord> fetchFromDaemons(const ExplainOptions &options, const Secret &token)
{
    for (const std::string &url : options.daemons) {
        const Result<QByteArray> page = fetchPage(url + "/refusals/" + options.id, token);
        if (page.has_value()) {
            return account::refusalRecordFromJson(QJsonDocument::fromJson(*page).object());
        }
        if (page.error().code != ErrorCode::notFound) {
            fmt::print(stderr, "{}: {}\n", url, page.error().message);
        }
    }
    return std::nullopt;
}

[[nodiscard]] static CommandResult explain(const ExplainOptions &options, const Secret &operatorToken, RandomSource &random)
{
    if (!options.id.empty()) {
        if (const std::optional<account::RefusalRecord> record = fetchFromDaemons(options, operatorToken)) {
            return describeRefusal(*record, options.isJson);
        }
        const bool hasPlatform = !options.platform.url.empty() || !options.platform.settingsPath.empty();
        if (!hasPlatform && !options.daemons.empty()) {
            return {.code = ExitCode::notFound, .text = "none of the daemons holds that refusal; give --platform to search the store\n"};
        }
    }
    const std::unique_ptr<PlatformPort> port = openPlatform(options.platform);
    if (port == nullptr) {
        return {.code = ExitCode::badInput, .text = {}};
    }
    if (!options.id.empty()) {
        return explainRefusal(*Uuid::parse(options.id), *port, random, options.isJson);
    }
    const std::optional<WallTime> since = parseTime(options.since);
    const std::optional<WallTime> until = options.until.empty() ? std::optional{std::chrono::system_clock::now()} : parseTime(options.until);
    if (!since.has_value() || !until.has_value()) {
        return {.code = ExitCode::badInput, .text = "--since and --until are times such as 2026-12-02T22:00:00Z\n"};
    }
    return summarizeRefusals({.since = *since, .until = *until, .kind = options.kind}, *port, random);
}

[[nodiscard]] static CommandResult describeTimeline(const ExplainOptions &options)
{
    if (options.id.empty()) {
        return {.code = ExitCode::badInput, .text = "--log requires the name of a request\n"};
    }
    RequestTimeline timeline{options.id};
    for (const std::string &path : options.logs) {
        const Result<QByteArray> log = readLog(path);
        if (!log.has_value()) {
            return {.code = ExitCode::badInput, .text = log.error().message + "\n"};
        }
        timeline.read(*log);
    }
    return options.isJson ? timeline.asJson() : timeline.asText();
}

} // namespace internal

CommandResult describeRefusal(const account::RefusalRecord &record, const bool isJson)
{
    if (isJson) {
        return {.code = ExitCode::success, .text = QJsonDocument{account::toJson(record)}.toJson().toStdString()};
    }
    return {.code = ExitCode::success, .text = account::toSentence(record) + "\n"};
}

CommandResult explainRefusal(const Uuid &id, PlatformPort &port, RandomSource &random, const bool isJson)
{
    const std::optional<WallTime> minted = id.mintedAt();
    if (!minted.has_value()) {
        return {.code = ExitCode::badInput, .text = "that is not the id of a refusal\n"};
    }
    internal::AccountReader reader{port, random};
    std::optional<account::RefusalRecord> found;
    std::string gaps;
    reader.visit(account::minutePrefix(*minted), {}, {}, [&](const account::AccountBatch &batch) {
        for (const account::RefusalRecord &record : batch.refusals) {
            if (record.refusal.id == id) {
                found = record;
                return false;
            }
        }
        for (const account::DroppedRefusals &gap : batch.dropped) {
            gaps += internal::describe(batch.daemon, gap) + "\n";
        }
        return true;
    });
    if (found.has_value()) {
        return describeRefusal(*found, isJson);
    }
    if (!reader.failure().empty()) {
        return {.code = ExitCode::unavailable, .text = fmt::format("the account could not be read: {}\n", reader.failure())};
    }
    std::string text = fmt::format("the stored account of {} UTC does not hold that refusal\n", internal::toText(*minted));
    text += gaps + "A refusal is stored within a minute; before that, ask the daemons with --daemon.\n";
    return {.code = ExitCode::notFound, .text = std::move(text)};
}

CommandResult summarizeRefusals(const RefusalQuery &query, PlatformPort &port, RandomSource &random)
{
    internal::AccountReader reader{port, random};
    internal::RefusalSummary summary;
    const std::string end = account::minutePrefix(query.until + std::chrono::minutes{1});
    reader.visit(account::accountPrefix, account::minutePrefix(query.since), end, [&](const account::AccountBatch &batch) {
        internal::add(batch, query, summary);
        return true;
    });
    if (!reader.failure().empty()) {
        return {.code = ExitCode::unavailable, .text = fmt::format("the account could not be read: {}\n", reader.failure())};
    }
    std::string text = fmt::format("{} refusals from {} to {} UTC\n", summary.total, internal::toText(query.since), internal::toText(query.until));
    for (const auto &[key, count] : summary.counts) {
        text += fmt::format("{:>10}  {:<40} {:<22} {}\n", count, key.kind, key.reason, key.verdict);
    }
    for (const std::string &gap : summary.gaps) {
        text += "incomplete: " + gap + "\n";
    }
    if (reader.unreadableBatches() > 0) {
        text += fmt::format("incomplete: {} objects could not be read\n", reader.unreadableBatches());
    }
    return {.code = ExitCode::success, .text = std::move(text)};
}

int runExplain(const ExplainOptions &options, int argc, char **argv)
{
    if (!options.logs.empty()) {
        const CommandResult result = internal::describeTimeline(options);
        fmt::print("{}", result.text);
        return result.code;
    }
    if (!options.id.empty() && !Uuid::parse(options.id).has_value()) {
        fmt::print(stderr, "egretlatch: {} is not the id of a refusal\n", options.id);
        return ExitCode::badInput;
    }
    const std::optional<Secret> operatorToken = readToken(options.operatorTokenPath);
    if (!operatorToken.has_value()) {
        return ExitCode::badInput;
    }
    const QCoreApplication application{argc, argv};
    SeededRandom random{static_cast<std::uint64_t>(std::chrono::steady_clock::now().time_since_epoch().count())};
    const CommandResult result = internal::explain(options, *operatorToken, random);
    fmt::print("{}", result.text);
    return result.code;
}

} // namespace egretlatch::cli
