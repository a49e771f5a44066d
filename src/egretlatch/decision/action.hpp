#ifndef EGRETLATCH_DECISION_ACTION_HPP
#define EGRETLATCH_DECISION_ACTION_HPP

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <QByteArray>

#include <egretlatch/account/refusal.hpp>
#include <egretlatch/account/refusal_record.hpp>
#include <egretlatch/account/span.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/header.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/core/verdict.hpp>
#include <egretlatch/membership/member.hpp>
#include <egretlatch/protocol/messages.hpp>
#include <egretlatch/store/requests.hpp>

namespace egretlatch::decision
{

/*! @brief What a caller is answered. */
struct CallerAnswer
{
    Verdict verdict{Verdict::notRun};
    int status{};
    Headers headers;
    QByteArray body;
    /*! @brief Set where the system, not the backend server, answers. */
    std::optional<account::Refusal> refusal;
    std::string service;
    std::string kind;
    /*! @brief Text for people where the request itself was wrong; empty otherwise. */
    std::string requestError;
    /*! @brief Key that a resend after `not-run` is to use; empty where the same key, or none, will do. */
    std::string nextKey;

    friend bool operator==(const CallerAnswer &, const CallerAnswer &) = default;
};

/*! @brief Answer an exchange; nothing more is said on it. */
struct AnswerCaller
{
    ExchangeId exchange;
    CallerAnswer answer;
};

/*! @brief Send a message to another daemon. */
struct SendToPeer
{
    DaemonId to;
    /*! @brief Address of its peer socket. */
    std::string endpoint;
    protocol::Message message;
};

/*! @brief A request as the backend server gets it. */
struct RunRequest
{
    std::string method;
    std::string path;
    Headers headers;
    QByteArray body;
    /*! @brief Request kind; sent as `Egretlatch-Kind`. */
    std::string kind;
    /*! @brief Time that the run has; sent as `Request-Timeout-Ms`. */
    Duration remaining{};
    /*! @brief Sent as `Egretlatch-Call`, for the run's own calls. */
    std::string runToken;
    /*! @brief Sent as `Idempotency-Key` if not empty. */
    std::string key;
    account::TraceContext trace;
    /*! @brief Whether the transport may send it again by itself; only where the kind is declared idempotent. */
    bool mayRepeat{};
};

/*! @brief Hand a request to the backend server beside this daemon. */
struct StartRun
{
    ExecutionId execution;
    RunRequest request;
};

/*! @brief Close the connection of a run whose answer nobody waits for. */
struct AbortRun
{
    ExecutionId execution;
};

using account::RefusalRecord;

/*! @brief Enter a refusal into the account. */
struct RecordRefusal
{
    RefusalRecord record;
    /*! @brief What the caller calls its request; empty if it did not say. */
    std::string requestName;
    /*! @brief The daemon that the last attempt was made at; empty if there was none. */
    DaemonId server;
    /*! @brief Since the request came. */
    Duration elapsed{};
    /*! @brief 0 for a caller's own request, 1 for a call that its run makes, and so on. */
    int depth{};
};

/*! @brief Something was decided about a request on its way that its answer does not show, for the log. */
struct LogRequest
{
    /*! @brief What was decided, in a few words without variable parts. */
    std::string_view event;
    std::string requestName;
    std::string service;
    std::string kind;
    /*! @brief The daemon that the attempt was made at. */
    DaemonId server;
    /*! @brief Why, as the attempt's end gave it. */
    std::string reason;
    /*! @brief Since the request came. */
    Duration elapsed{};
};

/*! @brief Export a finished span. */
struct RecordSpan
{
    account::Span span;
};

/*! @brief Ask the platform; a PlatformAnswered with the same id follows. */
struct AskPlatform
{
    store::RequestId id;
    store::Request request;
};

/*! @brief A configuration has been put in force. */
struct ManifestInForce
{
    std::uint64_t version{};
    std::string hash;
    /*! @brief Daemon that it came from; empty if it came from the platform or the settings. */
    DaemonId sourceDaemon;
};

/*! @brief A member is seen in another state than before, for the log. */
struct MemberChanged
{
    DaemonId id;
    membership::MemberState state{};
};

/*! @brief Another daemon told that the backend server beside this one leaves, for the log. */
struct DepartureReported
{
    std::string instance;
};

/*! @brief This daemon goes on under a higher incarnation; what it sends from now on must bear it. */
struct IncarnationRaised
{
    Incarnation from;
    Incarnation to;
};

/*! @brief Nothing is in flight any more at a daemon that drains. */
struct Drained
{
};

using Action = std::variant<AnswerCaller,
                            SendToPeer,
                            StartRun,
                            AbortRun,
                            RecordRefusal,
                            LogRequest,
                            RecordSpan,
                            AskPlatform,
                            ManifestInForce,
                            MemberChanged,
                            DepartureReported,
                            IncarnationRaised,
                            Drained>;
using Actions = std::vector<Action>;

} // namespace egretlatch::decision

#endif
