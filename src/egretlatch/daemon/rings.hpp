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

using PlatformOrder = std::variant<decision::AskPlatform, FleetSizeChanged>;
using FrontOrder = std::variant<decision::AnswerCaller, ReadyChanged>;
using BackOrder = std::variant<decision::StartRun, decision::AbortRun>;
using AccountOrder = std::variant<decision::RecordRefusal, decision::RecordSpan>;

/*! @brief Values that a ring holds before the reader is taken to be stuck. */
constexpr std::size_t ringCapacity = 4096;

/*! @brief The rings into the deciding thread, one for each thread that writes. */
struct InwardRings
{
    Ring<decision::Event> fromFront;
    Ring<decision::Event> fromPeer;
    Ring<decision::Event> fromBack;
    Ring<decision::Event> fromPlatform;

    explicit InwardRings(Waker &decideWaker)
        : fromFront{ringCapacity, decideWaker}
        , fromPeer{ringCapacity, decideWaker}
        , fromBack{ringCapacity, decideWaker}
        , fromPlatform{ringCapacity, decideWaker}
    {
    }
};

/*! @brief The rings out of the deciding thread, one for each thread that reads. */
struct OutwardRings
{
    Ring<FrontOrder> toFront;
    Ring<decision::SendToPeer> toPeer;
    Ring<BackOrder> toBack;
    Ring<AccountOrder> toAccount;
    Ring<PlatformOrder> toPlatform;

    OutwardRings(Waker &frontWaker, Waker &peerWaker, Waker &backWaker, Waker &accountWaker, Waker &platformWaker)
        : toFront{ringCapacity, frontWaker}
        , toPeer{ringCapacity, peerWaker}
        , toBack{ringCapacity, backWaker}
        , toAccount{ringCapacity, accountWaker}
        , toPlatform{ringCapacity, platformWaker}
    {
    }
};

} // namespace egretlatch::daemon

#endif
