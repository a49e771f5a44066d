#include <egretlatch/manifest/call_graph.hpp>

#include <set>
#include <utility>

#include <fmt/format.h>

namespace egretlatch::manifest
{

namespace internal
{

using KindName = std::pair<std::string, std::string>;

[[nodiscard]] static bool reaches(const Manifest &manifest, const KindName &from, const KindName &goal, std::set<KindName> &seen)
{
    if (!seen.insert(from).second) {
        return false;
    }
    const KindSpec *const kind = manifest.findKind(from.first, from.second);
    if (kind == nullptr) {
        return false;
    }
    for (const InnerCall &call : kind->calls) {
        const KindName next{call.service, call.kind};
        if (next == goal || reaches(manifest, next, goal, seen)) {
            return true;
        }
    }
    return false;
}

static void warn(settings::Problems &problems, std::string pointer, std::string found, std::string allowed)
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
            const std::string found = fmt::format("a call of {}/{}, which is not declared", call.service, call.kind);
            problems.push_back({.pointer = callPointer, .found = found, .allowed = "a declared service and kind"});
        } else if (callee->deadline > kind.deadline) {
            const std::string found =
                fmt::format("{} ms, shorter than the {} ms of {}/{}", kind.deadline.count(), callee->deadline.count(), call.service, call.kind);
            warn(problems, pointer + "/deadlineMs", found, "at least the deadline of each kind it calls");
        }
    }
}

static void checkKind(const Manifest &manifest, const ServiceSpec &service, const KindSpec &kind, const std::string &pointer, settings::Problems &problems)
{
    checkCalls(manifest, kind, pointer, problems);
    std::set<KindName> seen;
    const KindName self{service.name, kind.name};
    if (reaches(manifest, self, self, seen)) {
        warn(problems, pointer + "/calls", "a cycle back to this kind", "calls that end");
    }
    if (kind.cost > kind.deadline) {
        warn(problems, pointer + "/costMs", fmt::format("{} ms, beyond the deadline", kind.cost.count()), "at most the deadline");
    }
}

} // namespace internal

settings::Problems checkCallGraph(const Manifest &manifest)
{
    settings::Problems problems;
    for (std::size_t serviceIndex = 0; serviceIndex < manifest.services().size(); ++serviceIndex) {
        const ServiceSpec &service = manifest.services()[serviceIndex];
        for (std::size_t kindIndex = 0; kindIndex < service.kinds.size(); ++kindIndex) {
            const std::string pointer = fmt::format("/services/{}/kinds/{}", serviceIndex, kindIndex);
            internal::checkKind(manifest, service, service.kinds[kindIndex], pointer, problems);
        }
    }
    return problems;
}

} // namespace egretlatch::manifest
