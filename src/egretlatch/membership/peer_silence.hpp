#ifndef EGRETLATCH_MEMBERSHIP_PEER_SILENCE_HPP
#define EGRETLATCH_MEMBERSHIP_PEER_SILENCE_HPP

#include <egretlatch/core/clock.hpp>

namespace egretlatch::membership
{

/*! @brief Time without a message from any other daemon, for metrics and `/status`. */
struct PeerSilence
{
    /*! @brief Time since the last message, without pauses of this daemon; zero while no message is expected. */
    Duration duration{};
    /*! @brief Set while the daemon is reported as isolated. */
    bool isIsolated{};

    friend bool operator==(const PeerSilence &, const PeerSilence &) = default;
};

} // namespace egretlatch::membership

#endif
