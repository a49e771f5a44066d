#ifndef EGRETLATCH_DAEMON_RINGS_HPP
#define EGRETLATCH_DAEMON_RINGS_HPP

#include <variant>

#include <egretlatch/core/ring.hpp>
#include <egretlatch/decision/action.hpp>
#include <egretlatch/decision/event.hpp>

namespace egretlatch::daemon
{

/*! @brief What the thread that serves callers is told. */
struct ReadyChanged
{
    bool isReady{};
};

/*! @brief How many daemons share the platform now. */
struct FleetSizeChanged
{
    int daemons{};
};

using PlatformAction = std::variant<decision::AskPlatform, FleetSizeChanged>;
using CallerAction = std::variant<decision::AnswerCaller, ReadyChanged>;
using BackendAction = std::variant<decision::StartRun, decision::AbortRun>;
using AccountAction = std::variant<decision::RecordRefusal, decision::RecordSpan>;

/*! @brief Values that a ring holds before the reader is taken to be stuck. */
constexpr std::size_t ringCapacity = 4096;

/*! @brief The rings into the deciding thread, one for each thread that writes. */
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

/*! @brief The rings out of the deciding thread, one for each thread that reads. */
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
