#ifndef EGRETLATCH_NET_PEER_SILENCE_HPP
#define EGRETLATCH_NET_PEER_SILENCE_HPP

#include <chrono>

#include <QtGlobal>

namespace egretlatch::net
{

/*! @brief Time after which a peer that acknowledges nothing is considered lost. Longer than one second of packet loss with its retransmissions. */
inline constexpr std::chrono::milliseconds unacknowledgedLimit{3000};

/**
 * @brief Checks whether the peer of a TCP connection has left bytes and window probes unanswered for unacknowledgedLimit.
 *
 * A peer that only does not read answers the probes of its closed window, and is not silent.
 * @param descriptor The socket.
 * @return True for a silent peer; false where the kernel does not tell.
 */
[[nodiscard]] bool isPeerSilent(int descriptor);

/**
 * @brief Returns the number of bytes that the kernel has taken for a TCP connection and the peer has not acknowledged.
 * @param descriptor The socket.
 * @return The number; zero where the kernel does not tell.
 */
[[nodiscard]] qsizetype unacknowledgedBytes(int descriptor);

} // namespace egretlatch::net

#endif
