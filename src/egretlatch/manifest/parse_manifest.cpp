#include <egretlatch/manifest/manifest.hpp>

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

constexpr Range<std::int64_t> priorityRange{.least = 0, .most = 9};
constexpr Range<double> worthRange{.least = 0.0, .most = 1e6};
constexpr Range<std::int64_t> deadlineRange{.least = 1, .most = 600'000};
constexpr Range<std::int64_t> costRange{.least = 1, .most = 600'000};
constexpr Range<std::int64_t> retryBudgetRange{.least = 0, .most = 32};
constexpr Range<std::int64_t> countRange{.least = 1, .most = 64};
constexpr Range<std::int64_t> slotsRange{.least = 1, .most = 10'000};
constexpr Range<std::int64_t> connectionsRange{.least = 1, .most = 100'000};
constexpr Range<std::int64_t> queueTargetRange{.least = 1, .most = 60'000};
constexpr Range<double> retryRatioRange{.least = 0.0, .most = 1.0};

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
    if (service.connections < service.slots) {
        reader.report("connections", fmt::format("{}, less than the {} slots", service.connections, service.slots), "at least as many as slots");
    }
    std::set<std::string> names;
    reader.list("kinds", true, [&](const QJsonValue &element, const std::string &elementPointer) {
        service.kinds.push_back(readKind(element, elementPointer, problems));
        if (!names.insert(service.kinds.back().name).second) {
            problems.push_back({.pointer = elementPointer + "/name", .found = "a name given twice", .allowed = "a name of its own"});
        }
    });
    reader.finish();
    return service;
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
            problems.push_back({.pointer = pointer + "/name", .found = "a name given twice", .allowed = "a name of its own"});
        }
        builder.addService(std::move(service));
    });
    reader.finish();
    builder.setHash(contentHash(json));
    std::shared_ptr<const Manifest> manifest = builder.build();
    const settings::Problems graphProblems = checkCallGraph(*manifest);
    problems.insert(problems.end(), graphProblems.begin(), graphProblems.end());
    if (settings::hasError(problems)) {
        return tl::unexpected{problems};
    }
    return ParsedManifest{.manifest = std::move(manifest), .warnings = problems};
}

} // namespace egretlatch::manifest
