#ifndef EGRETLATCH_PROTOCOL_MESSAGES_HPP
#define EGRETLATCH_PROTOCOL_MESSAGES_HPP

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <QByteArray>

#include <egretlatch/account/refusal.hpp>
#include <egretlatch/account/trace_context.hpp>
#include <egretlatch/admission/load_report.hpp>
#include <egretlatch/admission/rank.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/header.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/core/uuid.hpp>
#include <egretlatch/core/verdict.hpp>
#include <egretlatch/membership/member.hpp>

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
    /*! @brief Time left when the message was sent; counted from its arrival by the receiver. */
    Duration remaining{};
    account::TraceContext trace;
    admission::Rank rank;
    /*! @brief Further attempts that the run may spend on its inner calls. */
    int attemptsLent{};
    /*! @brief 0 for a root's first call, 1 for the calls that it makes, and so on. */
    int depth{};

    friend bool operator==(const CallRequest &, const CallRequest &) = default;
};

/*! @brief The end of one attempt, from the serving daemon to the one that made it. */
struct CallAnswer
{
    CallId call;
    /*! @brief Incarnation of the daemon that the answer is for. */
    Incarnation receiver;
    /*! @brief Speaks of this attempt alone. */
    Verdict verdict{Verdict::mayHaveRun};
    int status{};
    Headers headers;
    QByteArray body;
    std::optional<account::Refusal> refusal;
    admission::LoadReport load;
    /*! @brief Part of the lent attempts that was not spent. */
    int attemptsReturned{};
    /*! @brief Slot time that the run and its inner calls took. */
    Duration slotTime{};
    /*! @brief Highest level that calls of this kind meet at the services further down. */
    admission::Level chainLevel;
    /*! @brief Time since that level stood, summed over the daemons that passed it on. */
    Duration chainLevelAge{};

    friend bool operator==(const CallAnswer &, const CallAnswer &) = default;
};

/*! @brief Says that nobody waits for an attempt any more. */
struct CallCancel
{
    CallId call;

    friend bool operator==(const CallCancel &, const CallCancel &) = default;
};

/*! @brief News of members. */
struct Gossip
{
    std::vector<membership::Member> members;

    friend bool operator==(const Gossip &, const Gossip &) = default;
};

using Message = std::variant<CallRequest, CallAnswer, CallCancel, Gossip>;

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
