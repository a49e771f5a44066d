#include <egretlatch/manifest/call_graph.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include <fmt/format.h>

#include <egretlatch/manifest/kind_name.hpp>

namespace egretlatch::manifest
{

namespace internal
{

[[nodiscard]] static bool reaches(const Manifest &manifest, const KindName &from, const KindName &target, std::set<KindName> &visited)
{
    if (!visited.insert(from).second) {
        return false;
    }
    const KindSpec *const kind = manifest.findKind(from.first, from.second);
    if (kind == nullptr) {
        return false;
    }
    for (const InnerCall &call : kind->calls) {
        const KindName next{call.service, call.kind};
        if (next == target || reaches(manifest, next, target, visited)) {
            return true;
        }
    }
    return false;
}

static void addWarning(settings::Problems &problems, std::string pointer, std::string found, std::string allowed)
{
    problems.push_back({.severity = settings::Severity::warning, .pointer = std::move(pointer), .found = std::move(found), .allowed = std::move(allowed)});
}

static void checkCalls(const Manifest &manifest, const KindSpec &kind, const std::string &pointer, settings::Problems &problems)
{
    for (std::size_t index = 0; index < kind.calls.size(); ++index) {
        const InnerCall &call = kind.calls[index];
        const std::string callPointer = fmt::format("{}/calls/{}", pointer, index);
        const KindSpec *const callee = manifest.findKind(call.service, call.kind);
        if (callee == nullptr) {
            const std::string found = fmt::format("a call to {}/{}, which is not declared", call.service, call.kind);
            problems.push_back({.pointer = callPointer, .found = found, .allowed = "a declared service and kind"});
        } else if (callee->deadline > kind.deadline) {
            const std::string found =
                fmt::format("{} ms, shorter than the {} ms of {}/{}", kind.deadline.count(), callee->deadline.count(), call.service, call.kind);
            addWarning(problems, pointer + "/deadlineMs", found, "at least the deadline of each kind it calls");
        }
    }
}

using Totals = std::map<KindName, std::chrono::milliseconds>;

// Sums the time for which a run and its calls hold slots one after the other; calls that close a cycle add nothing.
[[nodiscard]] static std::chrono::milliseconds totalCost(const Manifest &manifest, const KindName &name, Totals &totals)
{
    // Longer than any deadline, and small enough that no sum of calls overflows.
    constexpr std::chrono::milliseconds maxTotal{std::chrono::hours{24}};
    const KindSpec *const kind = manifest.findKind(name.first, name.second);
    const auto [entry, isNew] = totals.try_emplace(name, std::chrono::milliseconds{0});
    if (kind == nullptr || !isNew) {
        return entry->second;
    }
    std::chrono::milliseconds total = kind->cost;
    for (const InnerCall &call : kind->calls) {
        total = std::min(maxTotal, total + call.count * totalCost(manifest, {call.service, call.kind}, totals));
    }
    totals[name] = total;
    return total;
}

static void checkLimits(const ServiceSpec &service, const std::string &pointer, settings::Problems &problems)
{
    for (const KindSpec &kind : service.kinds) {
        if (service.queueTarget >= kind.deadline) {
            const std::string found = fmt::format("{} ms, not below the {} ms deadline of {}", service.queueTarget.count(), kind.deadline.count(), kind.name);
            addWarning(problems, pointer + "/queueTargetMs", found, "less than the deadline of each kind");
        }
    }
}

static void checkKind(const Manifest &manifest, const ServiceSpec &service, const KindSpec &kind, const std::string &pointer, settings::Problems &problems)
{
    checkCalls(manifest, kind, pointer, problems);
    std::set<KindName> visited;
    const KindName self{service.name, kind.name};
    if (reaches(manifest, self, self, visited)) {
        addWarning(problems, pointer + "/calls", "a cycle back to this kind", "calls without a cycle");
    }
    if (kind.cost > kind.deadline) {
        addWarning(problems, pointer + "/costMs", fmt::format("{} ms, beyond the deadline", kind.cost.count()), "at most the deadline");
        return;
    }
    Totals totals;
    const std::chrono::milliseconds total = totalCost(manifest, self, totals);
    if (total > kind.deadline) {
        const std::string found =
            fmt::format("{} ms, less than the {} ms that the run and its calls cost one after the other", kind.deadline.count(), total.count());
        addWarning(problems, pointer + "/deadlineMs", found, "at least the cost of the whole tree");
    }
}

} // namespace internal

settings::Problems checkCallGraph(const Manifest &manifest)
{
    settings::Problems problems;
    for (std::size_t serviceIndex = 0; serviceIndex < manifest.services().size(); ++serviceIndex) {
        const ServiceSpec &service = manifest.services()[serviceIndex];
        internal::checkLimits(service, fmt::format("/services/{}", serviceIndex), problems);
        for (std::size_t kindIndex = 0; kindIndex < service.kinds.size(); ++kindIndex) {
            const std::string pointer = fmt::format("/services/{}/kinds/{}", serviceIndex, kindIndex);
            internal::checkKind(manifest, service, service.kinds[kindIndex], pointer, problems);
        }
    }
    return problems;
}

} // namespace egretlatch::manifest
