#include <egretlatch/daemon/http_headers.hpp>

#include <algorithm>
#include <array>

namespace egretlatch::daemon
{

namespace internal
{

constexpr std::array<const char *, 21> hopByHopHeaders{
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
    "transfer-encoding",
    "content-length",
    "host",
    "expect",
    keyHeader,
    nextKeyHeader,
    timeoutHeader,
    callHeader,
    verdictHeader,
    traceHeader,
    kindHeader,
    apiKeyHeader,
    accountHeader,
};

} // namespace internal

bool isEndToEnd(const QByteArray &name)
{
    return std::none_of(internal::hopByHopHeaders.begin(), internal::hopByHopHeaders.end(), [&name](const char *const hopByHopHeader) {
        return name.compare(hopByHopHeader, Qt::CaseInsensitive) == 0;
    });
}

} // namespace egretlatch::daemon
