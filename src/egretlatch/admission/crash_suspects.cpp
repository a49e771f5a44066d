#include <egretlatch/admission/crash_suspects.hpp>

#include <algorithm>
#include <cstring>

#include <fmt/format.h>
#include <xxhash.h>

namespace egretlatch::admission
{

namespace internal
{

// The bound of the users' rules: a request may reach servers until it has crashed the third.
constexpr int crashesToQuarantine = 3;
// At 30 requests lost with a crash this holds those of 136 crashes.
constexpr std::size_t mostSuspects = 4096;
// Of a rumour's 512 bytes.
constexpr std::size_t mostInMessage = 64;

} // namespace internal

RequestFingerprint fingerprintOf(const std::string_view method, const std::string_view path, const std::string_view caller, const std::string_view body)
{
    const std::string head = fmt::format("{}\n{}\n{}\n{:x}", method, path, caller, XXH3_64bits(body.data(), body.size()));
    return XXH3_64bits(head.data(), head.size());
}

void CrashSuspects::noteCrash(const std::string &crash, const std::vector<RequestFingerprint> &running, const SteadyTime now)
{
    forgetOld(now);
    for (const RequestFingerprint request : running) {
        if (m_goodElsewhere.contains(request)) {
            continue;
        }
        if (m_suspects.size() >= internal::mostSuspects && !m_suspects.contains(request)) {
            return;
        }
        Suspect &suspect = m_suspects[request];
        suspect.crashes.insert(crash);
        suspect.last = now;
    }
}

bool CrashSuspects::noteSuccess(const RequestFingerprint request)
{
    return m_suspects.erase(request) > 0;
}

void CrashSuspects::noteRemoteSuccess(const RequestFingerprint request, const SteadyTime now)
{
    static_cast<void>(noteSuccess(request));
    forgetOld(now);
    if (m_goodElsewhere.size() < internal::mostSuspects) {
        m_goodElsewhere.insert_or_assign(request, now);
    }
}

int CrashSuspects::crashes(const RequestFingerprint request, const SteadyTime now) const
{
    const auto found = m_suspects.find(request);
    const bool isOld = found != m_suspects.end() && now - found->second.last >= crashLifetime;
    return found == m_suspects.end() || isOld ? 0 : static_cast<int>(found->second.crashes.size());
}

bool CrashSuspects::isQuarantined(const RequestFingerprint request, const SteadyTime now) const
{
    return crashes(request, now) >= internal::crashesToQuarantine;
}

void CrashSuspects::forgetOld(const SteadyTime now)
{
    std::erase_if(m_suspects, [now](const auto &item) {
        return now - item.second.last >= crashLifetime;
    });
    std::erase_if(m_goodElsewhere, [now](const auto &item) {
        return now - item.second >= successLifetime;
    });
}

std::string toBytes(const std::vector<RequestFingerprint> &requests)
{
    const std::size_t count = std::min(requests.size(), internal::mostInMessage);
    std::string bytes(count * sizeof(RequestFingerprint), '\0');
    if (count > 0) {
        std::memcpy(bytes.data(), requests.data(), bytes.size());
    }
    return bytes;
}

std::vector<RequestFingerprint> fingerprintsFrom(const std::string_view bytes)
{
    std::vector<RequestFingerprint> requests(bytes.size() / sizeof(RequestFingerprint));
    // Of nothing there may be no address to copy from.
    if (!requests.empty()) {
        std::memcpy(requests.data(), bytes.data(), requests.size() * sizeof(RequestFingerprint));
    }
    return requests;
}

} // namespace egretlatch::admission
