#include <egretlatch/admission/crash_suspects.hpp>

#include <algorithm>
#include <set>

namespace egretlatch::admission
{

namespace internal
{

// Required limit: a request may reach servers until it has crashed the third one.
constexpr int crashesToQuarantine = 3;
// Of a request whose other crashes left it unanswered only, two trials decide: one may meet a server that is silent by itself.
constexpr int brokenToQuarantine = 2;
// Holds the requests of 68 crashes, at 60 lost requests for each crash.
constexpr std::size_t maxSuspects = 4096;
// A caller is a service and a client account; content that more of them send is judged by these.
constexpr std::size_t maxCallers = 64;

} // namespace internal

void CrashSuspects::noteCrash(const std::string &crash, const std::vector<RequestIdentity> &running, const SteadyTime now)
{
    note(crash, running, true, now);
}

void CrashSuspects::noteUnanswered(const std::string &crash, const std::vector<RequestIdentity> &unanswered, const SteadyTime now)
{
    note(crash, unanswered, false, now);
}

void CrashSuspects::note(const std::string &crash, const std::vector<RequestIdentity> &running, const bool isBroken, const SteadyTime now)
{
    expire(now);
    // A crash under a request that crashes every server says nothing about the others that ran there.
    const bool isExplained = isAnyQuarantined(running, now);
    for (const RequestIdentity &request : running) {
        if (isExplained && suspicionOf(request, now) != Suspicion::quarantined) {
            continue;
        }
        if (!m_suspects.contains(request.content) && m_suspects.size() >= internal::maxSuspects) {
            evictLeastSuspect();
        }
        Suspect &suspect = m_suspects[request.content];
        if (suspect.callers.size() >= internal::maxCallers && !suspect.callers.contains(request.caller)) {
            continue;
        }
        Caller &caller = suspect.callers[request.caller];
        if (caller.clearedUntil > now) {
            continue;
        }
        bool &hasBroken = caller.crashes[crash];
        hasBroken = hasBroken || isBroken;
        caller.hasRunWell = false;
        suspect.last = now;
    }
}

bool CrashSuspects::noteSuccess(const RequestIdentity &request, const SteadyTime now)
{
    const auto found = m_suspects.find(request.content);
    if (found == m_suspects.end() || find(request.content, now) == nullptr) {
        return false;
    }
    Suspect &suspect = found->second;
    const bool isKnownCaller = suspect.callers.contains(request.caller);
    if (!isKnownCaller && suspect.callers.size() >= internal::maxCallers) {
        return false;
    }
    Caller &caller = suspect.callers[request.caller];
    const bool isNews = !caller.hasRunWell;
    caller.crashes.clear();
    caller.hasRunWell = true;
    return isNews;
}

void CrashSuspects::noteRemoteSuccess(const RequestIdentity &request, const SteadyTime now)
{
    expire(now);
    if (!m_suspects.contains(request.content)) {
        if (m_suspects.size() >= internal::maxSuspects) {
            return;
        }
        m_suspects[request.content].last = now;
    }
    static_cast<void>(noteSuccess(request, now));
    Suspect &suspect = m_suspects[request.content];
    const auto caller = suspect.callers.find(request.caller);
    if (caller != suspect.callers.end()) {
        caller->second.clearedUntil = now + successLifetime;
    }
}

Suspicion CrashSuspects::suspicionOf(const RequestIdentity &request, const SteadyTime now) const
{
    const CrashEvidence evidence = evidenceAgainst(request, now);
    if (evidence.crashes < internal::crashesToQuarantine) {
        return evidence.crashes > 0 ? Suspicion::suspect : Suspicion::none;
    }
    const bool isDecisive = evidence.ownCrashes >= internal::crashesToQuarantine || evidence.callers > 1;
    const bool isShown = evidence.broken >= internal::brokenToQuarantine;
    return isDecisive && isShown ? Suspicion::quarantined : Suspicion::onTrial;
}

CrashEvidence CrashSuspects::evidenceAgainst(const RequestIdentity &request, const SteadyTime now) const
{
    const Suspect *const suspect = find(request.content, now);
    if (suspect == nullptr) {
        return {};
    }
    const auto own = suspect->callers.find(request.caller);
    const bool isKnown = own != suspect->callers.end();
    if (isKnown && own->second.hasRunWell) {
        return {};
    }
    const bool runsWellForAny = std::any_of(suspect->callers.begin(), suspect->callers.end(), [](const auto &item) {
        return item.second.hasRunWell;
    });
    std::map<std::string, int> callersByCrash;
    std::set<std::string> broken;
    for (const auto &[hash, caller] : suspect->callers) {
        if (hash != request.caller && runsWellForAny) {
            continue;
        }
        for (const auto &[crash, isBroken] : caller.crashes) {
            ++callersByCrash[crash];
            if (isBroken) {
                broken.insert(crash);
            }
        }
    }
    // A caller that was only running beside another one with the same content shows nothing about its own requests.
    const auto isAlone = [&callersByCrash](const std::string &crash) {
        const auto found = callersByCrash.find(crash);
        return found != callersByCrash.end() && found->second == 1;
    };
    const auto callers = std::count_if(suspect->callers.begin(), suspect->callers.end(), [&isAlone](const auto &item) {
        return std::any_of(item.second.crashes.begin(), item.second.crashes.end(), [&isAlone](const auto &crash) {
            return isAlone(crash.first);
        });
    });
    return {
        .crashes = static_cast<int>(callersByCrash.size()),
        .broken = static_cast<int>(broken.size()),
        .ownCrashes = isKnown ? static_cast<int>(own->second.crashes.size()) : 0,
        .callers = static_cast<int>(callers),
        .sinceLast = now - suspect->last,
    };
}

std::vector<KnownCrash> CrashSuspects::crashesOf(const RequestFingerprint content, const SteadyTime now) const
{
    std::vector<KnownCrash> known;
    const Suspect *const suspect = find(content, now);
    if (suspect == nullptr) {
        return known;
    }
    for (const auto &[hash, caller] : suspect->callers) {
        for (const auto &[crash, isBroken] : caller.crashes) {
            known.push_back({.caller = hash, .crash = crash, .isBroken = isBroken});
        }
    }
    return known;
}

int CrashSuspects::crashesAt(const RequestFingerprint content, const DaemonId &daemon, const SteadyTime now) const
{
    const std::string prefix = daemon.value + '/';
    std::set<std::string> crashes;
    for (KnownCrash &known : crashesOf(content, now)) {
        if (known.crash.starts_with(prefix)) {
            crashes.insert(std::move(known.crash));
        }
    }
    return static_cast<int>(crashes.size());
}

void CrashSuspects::expire(const SteadyTime now)
{
    std::erase_if(m_suspects, [this, now](const auto &item) {
        return find(item.first, now) == nullptr;
    });
}

const CrashSuspects::Suspect *CrashSuspects::find(const RequestFingerprint content, const SteadyTime now) const
{
    const auto found = m_suspects.find(content);
    if (found == m_suspects.end()) {
        return nullptr;
    }
    const bool hasCrashes = std::any_of(found->second.callers.begin(), found->second.callers.end(), [](const auto &item) {
        return !item.second.crashes.empty();
    });
    const Duration lifetime = hasCrashes ? Duration{crashLifetime} : Duration{successLifetime};
    return now - found->second.last >= lifetime ? nullptr : &found->second;
}

bool CrashSuspects::isAnyQuarantined(const std::vector<RequestIdentity> &requests, const SteadyTime now) const
{
    return std::any_of(requests.begin(), requests.end(), [this, now](const RequestIdentity &request) {
        return suspicionOf(request, now) == Suspicion::quarantined;
    });
}

void CrashSuspects::evictLeastSuspect()
{
    const auto weight = [](const Suspect &suspect) {
        std::size_t crashes = 0;
        for (const auto &[hash, caller] : suspect.callers) {
            crashes += caller.crashes.size();
        }
        return std::pair{crashes, suspect.last};
    };
    const auto least = std::min_element(m_suspects.begin(), m_suspects.end(), [&weight](const auto &left, const auto &right) {
        return weight(left.second) < weight(right.second);
    });
    m_suspects.erase(least);
    ++m_evicted;
}

} // namespace egretlatch::admission
