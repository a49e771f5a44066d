#include <egretlatch/admission/crash_suspects.hpp>

#include <algorithm>
#include <cstring>

#include <fmt/format.h>
#include <xxhash.h>

namespace egretlatch::admission
{

namespace internal
{

// Required limit: a request may reach servers until it has crashed the third one.
constexpr int crashesToQuarantine = 3;
// Holds the requests of 136 crashes, at 30 lost requests for each crash.
constexpr std::size_t maxSuspects = 4096;
// 64 fingerprints of 8 bytes fill the 512 bytes of a rumour.
constexpr std::size_t maxPerMessage = 64;

} // namespace internal

RequestFingerprint fingerprintOf(const std::string_view method, const std::string_view path, const std::string_view caller, const std::string_view body)
{
    const std::string head = fmt::format("{}\n{}\n{}\n{:x}", method, path, caller, XXH3_64bits(body.data(), body.size()));
    return XXH3_64bits(head.data(), head.size());
}

void CrashSuspects::noteCrash(const std::string &crash, const std::vector<RequestFingerprint> &running, const SteadyTime now)
{
    eraseExpired(now);
    for (const RequestFingerprint request : running) {
        if (m_remoteSuccesses.contains(request)) {
            continue;
        }
        if (m_suspects.size() >= internal::maxSuspects && !m_suspects.contains(request)) {
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
    eraseExpired(now);
    if (m_remoteSuccesses.size() < internal::maxSuspects) {
        m_remoteSuccesses.insert_or_assign(request, now);
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

void CrashSuspects::eraseExpired(const SteadyTime now)
{
    std::erase_if(m_suspects, [now](const auto &item) {
        return now - item.second.last >= crashLifetime;
    });
    std::erase_if(m_remoteSuccesses, [now](const auto &item) {
        return now - item.second >= successLifetime;
    });
}

std::string toBytes(const std::vector<RequestFingerprint> &requests)
{
    const std::size_t count = std::min(requests.size(), internal::maxPerMessage);
    std::string bytes(count * sizeof(RequestFingerprint), '\0');
    if (count > 0) {
        std::memcpy(bytes.data(), requests.data(), bytes.size());
    }
    return bytes;
}

std::vector<RequestFingerprint> fingerprintsFrom(const std::string_view bytes)
{
    std::vector<RequestFingerprint> requests(bytes.size() / sizeof(RequestFingerprint));
    // The data pointer of an empty view may be null, which memcpy() does not allow.
    if (!requests.empty()) {
        std::memcpy(requests.data(), bytes.data(), requests.size() * sizeof(RequestFingerprint));
    }
    return requests;
}

} // namespace egretlatch::admission
