#include <egretlatch/daemon/http_headers.hpp>

#include <algorithm>
#include <array>

namespace egretlatch::daemon
{

namespace internal
{

constexpr std::array<const char *, 19> hopHeaders{
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
};

} // namespace internal

bool isEndToEnd(const QByteArray &name)
{
    return std::none_of(internal::hopHeaders.begin(), internal::hopHeaders.end(), [&name](const char *const hopHeader) {
        return name.compare(hopHeader, Qt::CaseInsensitive) == 0;
    });
}

} // namespace egretlatch::daemon
