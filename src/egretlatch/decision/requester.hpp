#ifndef EGRETLATCH_DECISION_REQUESTER_HPP
#define EGRETLATCH_DECISION_REQUESTER_HPP

#include <compare>
#include <variant>

#include <egretlatch/core/ids.hpp>

namespace egretlatch::decision
{

/*! @brief Call forwarded by another daemon to this one, the owner of its key. */
struct PeerCall
{
    DaemonId daemon;
    Incarnation incarnation;
    CallId call;

    friend auto operator<=>(const PeerCall &, const PeerCall &) = default;
};

/*! @brief Recipient of a call's answer: a caller over HTTP, or another daemon. */
using Requester = std::variant<ExchangeId, PeerCall>;

} // namespace egretlatch::decision

#endif
