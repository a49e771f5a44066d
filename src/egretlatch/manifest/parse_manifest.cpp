#include <egretlatch/manifest/manifest.hpp>

#include <algorithm>
#include <set>

#include <fmt/format.h>

#include <egretlatch/core/content_hash.hpp>
#include <egretlatch/manifest/call_graph.hpp>
#include <egretlatch/settings/json_object_reader.hpp>

namespace egretlatch::manifest
{

namespace internal
{

using settings::JsonObjectReader;
using settings::Problems;
using settings::Range;

constexpr std::size_t keyDigestLength = 64;
constexpr Range<std::int64_t> priorityRange{.min = 0, .max = 9};
constexpr Range<double> worthRange{.min = 0.0, .max = 1e6};
// A day; streams and downloads may be allowed hours.
constexpr Range<std::int64_t> deadlineRange{.min = 1, .max = 86'400'000};
constexpr Range<std::int64_t> costRange{.min = 1, .max = 600'000};
constexpr Range<std::int64_t> retryBudgetRange{.min = 0, .max = 32};
constexpr Range<std::int64_t> countRange{.min = 1, .max = 64};
constexpr Range<std::int64_t> slotsRange{.min = 1, .max = 10'000};
constexpr Range<std::int64_t> connectionsRange{.min = 1, .max = 100'000};
constexpr Range<std::int64_t> queueTargetRange{.min = 1, .max = 60'000};
constexpr Range<std::int64_t> weightRange{.min = 0, .max = 1'000'000};
constexpr Range<std::int64_t> headerBytesRange{.min = 256, .max = 1024LL * 1024};
constexpr Range<std::int64_t> bodyBytesRange{.min = 0, .max = 1024LL * 1024 * 1024};
constexpr Range<std::int64_t> timeoutRange{.min = 1, .max = 3'600'000};
constexpr Range<double> accountRateRange{.min = 0.0, .max = 1e9};
constexpr Range<double> retryRatioRange{.min = 0.0, .max = 1.0};

[[nodiscard]] static InnerCall readCall(const QJsonValue &value, const std::string &pointer, Problems &problems)
{
    JsonObjectReader reader{value, pointer, problems};
    InnerCall call;
    call.service = reader.text("service");
    call.kind = reader.text("kind");
    call.count = static_cast<int>(reader.integer("count", countRange, 1));
    reader.finish();
    return call;
}

[[nodiscard]] static KindSpec readKind(const QJsonValue &value, const std::string &pointer, Problems &problems)
{
    const KindSpec defaults;
    JsonObjectReader reader{value, pointer, problems};
    KindSpec kind;
    kind.name = reader.text("name");
    kind.priority = static_cast<int>(reader.integer("priority", priorityRange));
    kind.worth = reader.number("worth", worthRange);
    kind.idempotent = reader.flag("idempotent");
    kind.deadline = reader.milliseconds("deadlineMs", deadlineRange, defaults.deadline.count());
    kind.cost = reader.milliseconds("costMs", costRange, defaults.cost.count());
    kind.answerTarget = reader.milliseconds("answerTargetMs", deadlineRange, kind.deadline.count());
    kind.isPublic = reader.flag("public", false);
    kind.retryBudget = static_cast<int>(reader.integer("retryBudget", retryBudgetRange, defaults.retryBudget));
    reader.list("calls", false, [&](const QJsonValue &element, const std::string &elementPointer) {
        kind.calls.push_back(readCall(element, elementPointer, problems));
    });
    reader.finish();
    return kind;
}

[[nodiscard]] static ServiceSpec readService(const QJsonValue &value, const std::string &pointer, Problems &problems)
{
    const ServiceSpec defaults;
    JsonObjectReader reader{value, pointer, problems};
    ServiceSpec service;
    service.name = reader.text("name");
    service.slots = static_cast<int>(reader.integer("slots", slotsRange));
    service.connections = static_cast<int>(reader.integer("connections", connectionsRange));
    service.queueTarget = reader.milliseconds("queueTargetMs", queueTargetRange, defaults.queueTarget.count());
    service.retryRatio = reader.number("retryRatio", retryRatioRange, defaults.retryRatio);
    service.healthPath = reader.text("healthPath", "");
    if (service.connections < service.slots) {
        reader.report("connections", fmt::format("{}, less than the {} slots", service.connections, service.slots), "at least as many as slots");
    }
    std::set<std::string> names;
    reader.list("kinds", true, [&](const QJsonValue &element, const std::string &elementPointer) {
        service.kinds.push_back(readKind(element, elementPointer, problems));
        if (!names.insert(service.kinds.back().name).second) {
            problems.push_back({.pointer = elementPointer + "/name", .found = "a duplicate name", .allowed = "a unique name"});
        }
    });
    reader.finish();
    return service;
}

[[nodiscard]] static RouteTarget readTarget(const QJsonValue &value, const std::string &pointer, Problems &problems)
{
    JsonObjectReader reader{value, pointer, problems};
    RouteTarget target;
    target.service = reader.text("service");
    target.weight = static_cast<int>(reader.integer("weight", weightRange, 1));
    reader.finish();
    return target;
}

[[nodiscard]] static RouteSpec readRoute(const QJsonValue &value, const std::string &pointer, Problems &problems)
{
    JsonObjectReader reader{value, pointer, problems};
    RouteSpec route;
    route.name = reader.text("name");
    route.host = reader.text("host");
    route.prefix = reader.text("prefix");
    route.kind = reader.text("kind");
    if (!route.prefix.starts_with('/') || !route.prefix.ends_with('/')) {
        reader.report("prefix", "\"" + route.prefix + "\"", "a path that begins and ends with a slash");
    }
    reader.list("targets", true, [&](const QJsonValue &element, const std::string &elementPointer) {
        route.targets.push_back(readTarget(element, elementPointer, problems));
    });
    const bool hasWeight = std::any_of(route.targets.begin(), route.targets.end(), [](const RouteTarget &target) {
        return target.weight > 0;
    });
    if (!hasWeight) {
        reader.report("targets", "no target with a weight", "at least one service with a weight above zero");
    }
    reader.finish();
    return route;
}

// Reports targets that do not declare the kind of the route: they would refuse its requests.
static void checkTargets(const Manifest &manifest, Problems &problems)
{
    for (std::size_t index = 0; index < manifest.routes().size(); ++index) {
        const RouteSpec &route = manifest.routes()[index];
        for (const RouteTarget &target : route.targets) {
            if (manifest.findKind(target.service, route.kind) == nullptr) {
                problems.push_back({.pointer = fmt::format("/routes/{}/targets", index),
                                    .found = fmt::format("{}/{}, which is not declared", target.service, route.kind),
                                    .allowed = "services that declare the kind of the route"});
            }
        }
    }
}

[[nodiscard]] static AccountSpec readAccount(const QJsonValue &value, const std::string &pointer, Problems &problems)
{
    JsonObjectReader reader{value, pointer, problems};
    AccountSpec account;
    account.name = reader.text("name");
    if (account.name.empty()) {
        reader.report("name", "an empty text", "a name");
    }
    if (reader.member("priority").has_value()) {
        account.priority = static_cast<int>(reader.integer("priority", priorityRange));
    }
    account.ratePerSecond = reader.number("ratePerSecond", accountRateRange, 0.0);
    account.burst = reader.number("burst", accountRateRange, 0.0);
    reader.list("keyDigests", false, [&](const QJsonValue &element, const std::string &elementPointer) {
        const std::string digest = element.toString().toStdString();
        if (digest.size() != keyDigestLength) {
            // The text is not shown: it may be the key itself, written here by mistake.
            problems.push_back({.pointer = elementPointer, .found = "no digest", .allowed = "64 hexadecimal digits, as `egretlatch key-digest` prints"});
        }
        account.keyDigests.push_back(digest);
    });
    reader.finish();
    return account;
}

// Reports accounts that share a name or a key: a request with the key would be counted for either.
static void checkAccounts(const Manifest &manifest, Problems &problems)
{
    std::set<std::string> names;
    std::set<std::string> digests;
    for (std::size_t index = 0; index < manifest.accounts().size(); ++index) {
        const AccountSpec &account = manifest.accounts()[index];
        if (!names.insert(account.name).second) {
            problems.push_back({.pointer = fmt::format("/accounts/{}/name", index), .found = "a duplicate name", .allowed = "a unique name"});
        }
        for (std::size_t key = 0; key < account.keyDigests.size(); ++key) {
            if (!digests.insert(account.keyDigests[key]).second) {
                problems.push_back(
                    {.pointer = fmt::format("/accounts/{}/keyDigests/{}", index, key), .found = "a key of another account", .allowed = "a key of its own"});
            }
        }
    }
}

[[nodiscard]] static CallerLimits readCallerLimits(const QJsonValue &value, const std::string &pointer, Problems &problems)
{
    const CallerLimits defaults;
    JsonObjectReader reader{value, pointer, problems};
    CallerLimits limits;
    limits.headerBytes = static_cast<std::uint32_t>(reader.integer("headerBytes", headerBytesRange, defaults.headerBytes));
    limits.bodyBytes = static_cast<std::uint64_t>(reader.integer("bodyBytes", bodyBytesRange, static_cast<std::int64_t>(defaults.bodyBytes)));
    limits.headerTimeout = reader.milliseconds("headerTimeoutMs", timeoutRange, defaults.headerTimeout.count());
    limits.idleTimeout = reader.milliseconds("idleTimeoutMs", timeoutRange, defaults.idleTimeout.count());
    reader.finish();
    return limits;
}

} // namespace internal

tl::expected<ParsedManifest, settings::Problems> parseManifest(const QByteArray &json)
{
    settings::Problems problems;
    const QJsonValue document = settings::parseJson(json, problems);
    if (settings::hasError(problems)) {
        return tl::unexpected{problems};
    }
    ManifestBuilder builder;
    std::set<std::string> names;
    settings::JsonObjectReader reader{document, "", problems};
    reader.list("services", true, [&](const QJsonValue &element, const std::string &pointer) {
        ServiceSpec service = internal::readService(element, pointer, problems);
        if (!names.insert(service.name).second) {
            problems.push_back({.pointer = pointer + "/name", .found = "a duplicate name", .allowed = "a unique name"});
        }
        builder.addService(std::move(service));
    });
    reader.list("routes", false, [&](const QJsonValue &element, const std::string &pointer) {
        builder.addRoute(internal::readRoute(element, pointer, problems));
    });
    reader.list("accounts", false, [&](const QJsonValue &element, const std::string &pointer) {
        builder.addAccount(internal::readAccount(element, pointer, problems));
    });
    if (const std::optional<QJsonValue> limits = reader.member("callerLimits")) {
        builder.setCallerLimits(internal::readCallerLimits(*limits, reader.pointerTo("callerLimits"), problems));
    }
    reader.finish();
    builder.setHash(contentHash(json));
    std::shared_ptr<const Manifest> manifest = builder.build();
    const settings::Problems graphProblems = checkCallGraph(*manifest);
    internal::checkTargets(*manifest, problems);
    internal::checkAccounts(*manifest, problems);
    problems.insert(problems.end(), graphProblems.begin(), graphProblems.end());
    if (settings::hasError(problems)) {
        return tl::unexpected{problems};
    }
    return ParsedManifest{.manifest = std::move(manifest), .warnings = problems};
}

} // namespace egretlatch::manifest
