#include <egretlatch/net/peer_silence.hpp>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace egretlatch::net
{

namespace internal
{

// A peer that is alive answers each probe of its closed window, so at most the latest one is unanswered.
constexpr int unansweredProbes = 2;

} // namespace internal

bool isPeerSilent(const int descriptor)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return false;
    }
    const int unanswered = info.tcpi_retransmits + info.tcpi_probes;
    return unanswered >= internal::unansweredProbes && std::chrono::milliseconds{info.tcpi_last_ack_recv} > unacknowledgedLimit;
}

qsizetype unacknowledgedBytes(const int descriptor)
{
    int bytes = 0;
    return ::ioctl(descriptor, SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

} // namespace egretlatch::net
