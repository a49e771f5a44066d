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

namespace egretlatch::protocol
{

/*! @brief One attempt of a call, from the daemon that makes it to the serving daemon. */
struct CallRequest
{
    /*! @brief Unique within the sender's incarnation. */
    CallId call;
    Uuid root;
    std::string service;
    std::string kind;
    std::string method;
    /*! @brief Path and query at the backend server, as the caller gave them. */
    std::string path;
    Headers headers;
    QByteArray body;
    /*! @brief The caller's idempotency key; empty if it gave none. */
    std::string key;
    /*! @brief What the caller calls its request; may be empty. */
    std::string requestName;
    /*! @brief Time left when the message was sent; counted from its arrival by the receiver. */
    Duration remaining{};
    account::TraceContext trace;
    admission::Rank rank;
    /*! @brief What the root takes at each service of its chain, as far as its entry knew. */
    admission::RootCosts rootCosts;
    /*! @brief Further attempts that the run may spend on its inner calls. */
    int attemptsLent{};
    /*! @brief 0 for a root's first call, 1 for the calls that it makes, and so on. */
    int depth{};
    /*! @brief A backend server may have had it before, or it is a call of a run of which that is true. */
    bool isRepeat{};
    /*! @brief Life of the daemon that the request is meant for; another one does not run it. */
    Incarnation receiver;
    /*! @brief What the keys of the run's inner calls are derived from, as RequestKey text. */
    std::string scope;
    /*! @brief Whether it is meant for the owner of the key, which makes the attempts, rather than for a backend server. */
    bool forOwner{};

    friend bool operator==(const CallRequest &, const CallRequest &) = default;
};

/*! @brief The level of a service as a whole. */
struct ServiceLevel
{
    std::string service;
    admission::Level level;
    /*! @brief Time since the level stood, summed over the daemons that passed it on. */
    Duration age{};

    friend bool operator==(const ServiceLevel &, const ServiceLevel &) = default;
};

/*! @brief The end of one attempt, from the serving daemon to the one that made it. */
struct CallAnswer
{
    CallId call;
    /*! @brief Incarnation of the daemon that the answer is for. */
    Incarnation receiver;
    /*! @brief Speaks of this attempt alone; from the owner of a key, of the key. */
    Verdict verdict{Verdict::mayHaveRun};
    int status{};
    Headers headers;
    QByteArray body;
    std::optional<account::Refusal> refusal;
    /*! @brief Whether a refused attempt was handed to the backend server all the same. */
    bool hasReachedServer{};
    /*! @brief Whether an inner call of the run brought no good answer, so that its failure may not be the server's own. */
    bool hasFailedBelow{};
    admission::LoadReport load;
    /*! @brief Part of the lent attempts that was not spent. */
    int attemptsReturned{};
    /*! @brief Slot time that the run and its inner calls took. */
    Duration slotTime{};
    /*! @brief Key that a resend after `not-run` is to use; empty if there is none. */
    std::string nextKey;
    /*! @brief Levels at services further down, as far as the serving daemon has been told. */
    std::vector<ServiceLevel> levels;
    /*! @brief What a request of the kind takes at the services down its chain; told now and then. */
    admission::SlotTimeByService chain;
    /*! @brief How fast the backend server is at the kind that was called, if that is known. */
    std::optional<admission::KindPace> pace;

    friend bool operator==(const CallAnswer &, const CallAnswer &) = default;
};

/*! @brief Says that nobody waits for an attempt any more. */
struct CallCancel
{
    CallId call;

    friend bool operator==(const CallCancel &, const CallCancel &) = default;
};

/*! @brief News of members and of other small facts. */
using Gossip = membership::GossipMessage;

using Message = std::variant<CallRequest, CallAnswer, CallCancel, Gossip, configuration::Advert, configuration::BodyRequest, configuration::BodyReply>;

/*! @brief A message with its sender. */
struct Envelope
{
    DaemonId sender;
    Incarnation incarnation;
    Message message;

    friend bool operator==(const Envelope &, const Envelope &) = default;
};

} // namespace egretlatch::protocol

#endif
