#ifndef EGRETLATCH_DAEMON_RINGS_HPP
#define EGRETLATCH_DAEMON_RINGS_HPP

#include <variant>

#include <egretlatch/core/ring.hpp>
#include <egretlatch/decision/action.hpp>
#include <egretlatch/decision/event.hpp>

namespace egretlatch::daemon
{

/*! @brief Sets the readiness that the caller server reports. */
struct ReadyChanged
{
    bool isReady{};
};

/*! @brief Sets the number of daemons that share the platform's request rate. */
struct FleetSizeChanged
{
    int daemons{};
};

using PlatformAction = std::variant<decision::SendToPlatform, FleetSizeChanged>;
using CallerAction = std::variant<decision::AnswerCaller, ReadyChanged>;
using BackendAction = std::variant<decision::StartRun, decision::AbortRun>;
using AccountAction = std::variant<decision::RecordRefusal, decision::RecordSpan>;

/*! @brief Capacity of each ring; a full ring means that its reader is stuck. */
constexpr std::size_t ringCapacity = 4096;

/*! @brief Rings into the decide thread, one per producer thread. */
struct EventRings
{
    Ring<decision::Event> fromCallers;
    Ring<decision::Event> fromPeer;
    Ring<decision::Event> fromBackend;
    Ring<decision::Event> fromPlatform;

    explicit EventRings(Waker &decideWaker)
        : fromCallers{ringCapacity, decideWaker}
        , fromPeer{ringCapacity, decideWaker}
        , fromBackend{ringCapacity, decideWaker}
        , fromPlatform{ringCapacity, decideWaker}
    {
    }
};

/*! @brief Rings out of the decide thread, one per consumer thread. */
struct ActionRings
{
    Ring<CallerAction> toCallers;
    Ring<decision::SendToPeer> toPeer;
    Ring<BackendAction> toBackend;
    Ring<AccountAction> toAccount;
    Ring<PlatformAction> toPlatform;

    ActionRings(Waker &callerWaker, Waker &peerWaker, Waker &backendWaker, Waker &accountWaker, Waker &platformWaker)
        : toCallers{ringCapacity, callerWaker}
        , toPeer{ringCapacity, peerWaker}
        , toBackend{ringCapacity, backendWaker}
        , toAccount{ringCapacity, accountWaker}
        , toPlatform{ringCapacity, platformWaker}
    {
    }
};

} // namespace egretlatch::daemon

#endif
