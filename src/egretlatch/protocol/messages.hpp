#ifndef EGRETLATCH_PROTOCOL_MESSAGES_HPP
#define EGRETLATCH_PROTOCOL_MESSAGES_HPP

#include <optional>
#include <string>
#include <variant>

#include <QByteArray>

#include <egretlatch/account/refusal.hpp>
#include <egretlatch/account/trace_context.hpp>
#include <egretlatch/admission/learned_chains.hpp>
#include <egretlatch/admission/load_report.hpp>
#include <egretlatch/admission/rank.hpp>
#include <egretlatch/admission/root_costs.hpp>
#include <egretlatch/configuration/messages.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/header.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/core/uuid.hpp>
#include <egretlatch/core/verdict.hpp>
#include <egretlatch/membership/gossip_message.hpp>
#include <egretlatch/quota/messages.hpp>

namespace egretlatch::protocol
{

/*! @brief Attempt of a call, sent by the daemon that makes it to the serving daemon. */
struct CallRequest
{
    /*! @brief Unique within the sender's incarnation. */
    CallId call;
    Uuid root;
    std::string service;
    std::string kind;
    std::string method;
    /*! @brief Path and query for the backend server, as given by the caller. */
    std::string path;
    Headers headers;
    QByteArray body;
    /*! @brief Idempotency key of the caller; empty if it gave none. */
    std::string key;
    /*! @brief Client account of the request; empty for inner calls and without accounts. */
    std::string account;
    /*! @brief Name that the caller gave to its request; may be empty. */
    std::string requestName;
    /*! @brief Time left until the deadline when the message was sent; the receiver counts it from the arrival. */
    Duration remaining{};
    account::TraceContext trace;
    admission::Rank rank;
    /*! @brief Cost of the root request at each service of its chain, as far as known to its entry daemon. */
    admission::RootCosts rootCosts;
    /*! @brief Further attempts lent to the run for its inner calls. */
    int attemptsLent{};
    /*! @brief Depth in the call tree: 0 for the first call of a root, 1 for the calls that it makes, and so on. */
    int depth{};
    /*! @brief Tells whether a backend server may have received the request before, or whether this holds for the run that makes the call. */
    bool isRepeat{};
    /*! @brief Tells whether the sender hardly knows the chain of the kind, and asks for it with the answer. */
    bool wantsChain{};
    /*! @brief Incarnation of the daemon that the request is addressed to; a daemon with another incarnation does not run it. */
    Incarnation receiver;
    /*! @brief Scope from which the keys of the run's inner calls are derived, as RequestKey text. */
    std::string scope;
    /*! @brief Tells whether it is addressed to the owner of the key, which makes the attempts, rather than to a backend server. */
    bool forOwner{};

    friend bool operator==(const CallRequest &, const CallRequest &) = default;
};

/*! @brief Admission level of a service as a whole. */
struct ServiceLevel
{
    std::string service;
    admission::Level level;
    /*! @brief Time since the level was current, accumulated by the daemons that forwarded it. */
    Duration age{};

    friend bool operator==(const ServiceLevel &, const ServiceLevel &) = default;
};

/*! @brief Result of one attempt, sent by the serving daemon to the daemon that made it. */
struct CallAnswer
{
    CallId call;
    /*! @brief Incarnation of the daemon that the answer is addressed to. */
    Incarnation receiver;
    /*! @brief Verdict of this attempt alone; from the owner of a key, the verdict of the key. */
    Verdict verdict{Verdict::mayHaveRun};
    int status{};
    Headers headers;
    QByteArray body;
    std::optional<account::Refusal> refusal;
    /*! @brief Tells whether a refused attempt was nevertheless passed to the backend server. */
    bool hasReachedServer{};
    /*! @brief Tells whether an inner call of the run failed, so that the failure of the run may not be caused by the server itself. */
    bool hasFailedBelow{};
    admission::LoadReport load;
    /*! @brief Lent attempts that were not used. */
    int attemptsReturned{};
    /*! @brief Slot time used by the run and its inner calls. */
    Duration slotTime{};
    /*! @brief Key for a resend after `not-run`; empty if there is none. */
    std::string nextKey;
    /*! @brief Levels of services further down the chain, as far as known to the serving daemon. */
    std::vector<ServiceLevel> levels;
    /*! @brief Slot time that a request of the kind uses at each service down its chain; included only in some answers. */
    admission::SlotTimeByService chain;
    /*! @brief Performance of the backend server for the kind that was called, if known. */
    std::optional<admission::KindPerformance> performance;

    friend bool operator==(const CallAnswer &, const CallAnswer &) = default;
};

/*! @brief Cancels an attempt whose answer is no longer needed. */
struct CallCancel
{
    CallId call;

    friend bool operator==(const CallCancel &, const CallCancel &) = default;
};

/*! @brief Gossip about members, suspicions, rumours and the performance of backend servers. */
using Gossip = membership::GossipMessage;

using Message = std::variant<CallRequest,
                             CallAnswer,
                             CallCancel,
                             Gossip,
                             configuration::Advert,
                             configuration::BodyRequest,
                             configuration::BodyReply,
                             quota::UseReport,
                             quota::GrantReply>;

/*! @brief Message with its sender. */
struct Envelope
{
    DaemonId sender;
    Incarnation incarnation;
    Message message;

    friend bool operator==(const Envelope &, const Envelope &) = default;
};

} // namespace egretlatch::protocol

#endif
