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
#include <egretlatch/admission/crash_suspects.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/header.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/core/verdict.hpp>
#include <egretlatch/membership/isolation_change.hpp>
#include <egretlatch/membership/member.hpp>
#include <egretlatch/protocol/messages.hpp>
#include <egretlatch/store/requests.hpp>

namespace egretlatch::decision
{

/*! @brief Answer to a caller. */
struct CallerAnswer
{
    Verdict verdict{Verdict::notRun};
    int status{};
    Headers headers;
    QByteArray body;
    /*! @brief Set where the daemon, not the backend server, answers. */
    std::optional<account::Refusal> refusal;
    std::string service;
    std::string kind;
    /*! @brief Human-readable description of an error in the request itself; empty otherwise. */
    std::string requestError;
    /*! @brief Key for a resend after `not-run`; empty where the same key, or none, may be used. */
    std::string nextKey;

    friend bool operator==(const CallerAnswer &, const CallerAnswer &) = default;
};

/*! @brief Sends the answer of an exchange, which ends it. */
struct AnswerCaller
{
    ExchangeId exchange;
    CallerAnswer answer;
};

/*! @brief Sends a message to another daemon. */
struct SendToPeer
{
    DaemonId to;
    /*! @brief Address of its peer socket. */
    std::string endpoint;
    protocol::Message message;
};

/*! @brief Request as it is sent to the backend server. */
struct RunRequest
{
    std::string method;
    std::string path;
    Headers headers;
    QByteArray body;
    /*! @brief Request kind; sent as `Egretlatch-Kind`. */
    std::string kind;
    /*! @brief Time left for the run; sent as `Request-Timeout-Ms`. */
    Duration remaining{};
    /*! @brief Identifies the run in its inner calls; sent as `Egretlatch-Call`. */
    std::string runToken;
    /*! @brief Client account of the request; empty for inner calls and without accounts. */
    std::string account;
    /*! @brief Sent as `Idempotency-Key` if not empty. */
    std::string key;
    account::TraceContext trace;
};

/*! @brief Starts a request at the local backend server. */
struct StartRun
{
    ExecutionId execution;
    RunRequest request;
};

/*! @brief Closes the connection of a run whose answer is no longer needed. */
struct AbortRun
{
    ExecutionId execution;
};

using account::RefusalRecord;

/*! @brief Records a refusal. */
struct RecordRefusal
{
    RefusalRecord record;
    /*! @brief Name that the caller gave its request; empty if it gave none. */
    std::string requestName;
    /*! @brief Client account of the request; empty for none. */
    std::string account;
    /*! @brief Daemon of the last attempt; empty if there was none. */
    DaemonId server;
    /*! @brief Time since the request arrived. */
    Duration elapsed{};
    /*! @brief Depth in the call graph: 0 for a root request, 1 for a call made by its run, and so on. */
    int depth{};
};

/*! @brief Logs a decision about a pending request that its answer does not show. */
struct LogRequest
{
    /*! @brief Event of the log line, without variable parts. */
    std::string_view event;
    std::string requestName;
    std::string service;
    std::string kind;
    /*! @brief Daemon of the attempt. */
    DaemonId server;
    /*! @brief Reason, as reported at the end of the attempt. */
    std::string reason;
    /*! @brief Time since the request arrived. */
    Duration elapsed{};
};

/*! @brief Exports a finished span. */
struct RecordSpan
{
    account::Span span;
};

/*! @brief Reports that the local backend server has crashed while it ran requests. */
struct ServerCrashed
{
    std::string service;
    /*! @brief Number of requests that were running. */
    std::size_t running{};
};

/*! @brief Reports that a request is refused from now on, as it crashes backend servers. */
struct RequestQuarantined
{
    admission::RequestIdentity request;
    admission::CrashEvidence evidence;
};

/*! @brief Logs a suspect request of before this daemon's start, as read from the store. */
struct SuspectRead
{
    admission::RequestFingerprint content{};
    /*! @brief Crashes known of it, each counted for each caller. */
    std::size_t crashes{};
};

/*! @brief Reports that the local backend server has begun, or ceased, to name a rate limit. */
struct ServerLimitChanged
{
    /*! @brief Requests per second; empty if the limit has ended. */
    std::optional<double> perSecond;
};

/*! @brief Reports that the local backend server has said in an answer that it leaves. */
struct ServerLeavingNoticed
{
    std::string instance;
};

/*! @brief Reports that a report on crashes cannot be shared with the other daemons: too many are valid. */
struct CrashReportDropped
{
    std::string report;
};

/*! @brief Reports that suspect requests were forgotten because there were too many, those with the fewest crashes first. */
struct SuspectsForgotten
{
    /*! @brief Number of them since the start of this daemon. */
    std::uint64_t total{};
};

/*! @brief Sends a request to the platform; a PlatformAnswered with the same id follows. */
struct SendToPlatform
{
    store::RequestId id;
    store::Request request;
};

/*! @brief Reports that a configuration has been put in force. */
struct ManifestInForce
{
    std::uint64_t version{};
    std::string hash;
    /*! @brief Daemon that sent the configuration; empty if it came from the platform or the settings. */
    DaemonId sourceDaemon;
};

/*! @brief Logs that the known state of a member has changed. */
struct MemberChanged
{
    DaemonId id;
    membership::MemberState state{};
};

/*! @brief Logs that another daemon reported the departure of the local backend server. */
struct DepartureReported
{
    std::string instance;
};

/*! @brief Reports that the departure of a backend server incarnation is in the store, so that it may be acknowledged. */
struct DepartureSaved
{
    std::string instance;
};

/*! @brief Source from which a daemon knows the departures of before its start. */
enum class DepartureSource {
    store,
    peers,
};

/**
 * @brief Returns a source as text.
 * @param source The source.
 * @return Its name in logs.
 */
[[nodiscard]] constexpr std::string_view toString(const DepartureSource source) noexcept
{
    return source == DepartureSource::store ? "store" : "peers";
}

/*! @brief Logs that the departures of before this daemon's start are known, so that reports of the backend server count. */
struct DeparturesKnown
{
    DepartureSource source{};
    /*! @brief Time since the start of this daemon. */
    Duration sinceStart{};
    /*! @brief Departures that the store names. */
    std::size_t count{};
};

/*! @brief Logs that no message of any other daemon arrives, or that messages arrive again. */
struct IsolationChanged
{
    membership::IsolationChange change;
    /*! @brief Daemons that should answer the pings of this one. */
    std::size_t expected{};
    /*! @brief Other members that are not seen as gone. */
    std::size_t present{};
};

/*! @brief Reports that this daemon has raised its incarnation; all later messages must carry the new one. */
struct IncarnationRaised
{
    Incarnation from;
    Incarnation to;
};

/*! @brief Reports that a draining daemon has nothing in flight any more. */
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
                            SendToPlatform,
                            ManifestInForce,
                            MemberChanged,
                            ServerCrashed,
                            RequestQuarantined,
                            CrashReportDropped,
                            SuspectsForgotten,
                            SuspectRead,
                            ServerLimitChanged,
                            ServerLeavingNoticed,
                            DepartureReported,
                            DepartureSaved,
                            DeparturesKnown,
                            IsolationChanged,
                            IncarnationRaised,
                            Drained>;
using Actions = std::vector<Action>;

} // namespace egretlatch::decision

#endif
