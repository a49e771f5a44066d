#ifndef EGRETLATCH_DECISION_EVENT_HPP
#define EGRETLATCH_DECISION_EVENT_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include <QByteArray>

#include <egretlatch/account/trace_context.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/header.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/decision/server_notice.hpp>
#include <egretlatch/manifest/manifest.hpp>
#include <egretlatch/protocol/messages.hpp>
#include <egretlatch/store/requests.hpp>

namespace egretlatch::decision
{

/*! @brief Call made over HTTP by a caller, or by a run of the local backend server. */
struct CallerCall
{
    std::string service;
    std::string kind;
    std::string method;
    /*! @brief Path and query to send to the backend server. */
    std::string path;
    /*! @brief End-to-end headers only. */
    Headers headers;
    QByteArray body;
    /*! @brief Value of `Idempotency-Key`; empty if there was none. */
    std::string key;
    /*! @brief Digest of its API key; empty if there was none. */
    std::string apiKeyDigest;
    /*! @brief Client account, once the key has been found; empty without one. */
    std::string account;
    /*! @brief Value of `Request-Timeout-Ms`. */
    std::optional<std::chrono::milliseconds> timeout;
    std::optional<account::TraceContext> trace;
    /*! @brief Value of `Egretlatch-Call`: identifies the run that makes this call; empty for a root. */
    std::string runToken;
    /*! @brief Name that the caller gave this request, used in logs and to find the parent of inner calls; may be empty. */
    std::string requestName;
    /*! @brief Name of the request whose run is thought to make this call; empty for none. A hint: if no such run is running here, the call is a root. */
    std::string parentName;

    friend bool operator==(const CallerCall &, const CallerCall &) = default;
};

/*! @brief A call arrived over HTTP. */
struct CallArrived
{
    ExchangeId exchange;
    CallerCall call;
};

/*! @brief A caller requested a request key. */
struct KeyRequested
{
    ExchangeId exchange;
    std::string service;
    std::string kind;
};

/*! @brief The caller of an exchange closed its connection. */
struct CallerGone
{
    ExchangeId exchange;
};

/*! @brief A message arrived from another daemon, or from this one. */
struct PeerMessage
{
    protocol::Envelope envelope;
};

/*! @brief The transport did not accept a message; it has not left this daemon. */
struct SendFailed
{
    DaemonId to;
    CallId call;
};

/*! @brief The connection to a daemon ended, or could not be opened. */
struct PeerLost
{
    DaemonId daemon;
    /*! @brief False where no message on it can have left this daemon. */
    bool wasConnected{};
};

/*! @brief Response of a backend server. */
struct RunAnswer
{
    int status{};
    Headers headers;
    QByteArray body;

    friend bool operator==(const RunAnswer &, const RunAnswer &) = default;
};

/*! @brief Reason that a run has no answer. */
enum class RunFailure {
    /*! @brief No connection could be opened; nothing was sent. */
    notConnected,
    /*! @brief The backend server reported, with 503 and `Egretlatch-Verdict: not-run`, that it did not start the request. */
    rejected,
    /*! @brief The connection was lost after the request was sent. */
    lost,
};

/*! @brief A run at the backend server ended. */
struct RunEnded
{
    ExecutionId execution;
    std::variant<RunAnswer, RunFailure> result;
    /*! @brief Statements of the server about itself; empty if no answer of it was read. */
    std::optional<ServerNotice> notice{};
};

/*! @brief The local backend server announced itself. */
struct ServerAnnounced
{
    std::string service;
    int slots{};
    int connections{};
    /*! @brief Identifies the process, to tell a new one from one that is draining; may be empty. */
    std::string instance;

    friend bool operator==(const ServerAnnounced &, const ServerAnnounced &) = default;
};

/*! @brief The backend server, or an operator's signal, requested a drain: no new work is accepted. */
struct ServerDraining
{
    /*! @brief Instance name of the draining server; empty for the current one. */
    std::string instance{};
    /*! @brief Set if the daemon itself ends once nothing is in flight. */
    bool isShutdown{};
    /*! @brief Set if the daemon, rather than its backend server, received the signal to end. */
    bool isSignal{};
};

/*! @brief The backend server accepted no connection right after a run was lost. */
struct ServerUnreachable
{
};

/*! @brief The backend server has stopped. */
struct ServerLeft
{
};

/*! @brief A configuration should be put in force. */
struct ManifestChanged
{
    std::uint64_t version{};
    std::shared_ptr<const manifest::Manifest> manifest;
};

/*! @brief A configuration submitted by operators has been accepted. */
struct ManifestAccepted
{
    std::uint64_t version{};
    QByteArray document;
};

/*! @brief The store confirmed that no newer configuration was accepted than those passed on so far. */
struct ConfigurationConfirmed
{
    SteadyTime at;
};

/*! @brief An answer of the store carried the time of its clock. */
struct StoreClockRead
{
    store::ClockReading reading;
};

/*! @brief The store proved that no configuration newer than those passed on was accepted up to a time of its clock. */
struct ConfigurationProven
{
    store::StoreTime at;
};

/*! @brief The platform answered, or the request timed out. */
struct PlatformAnswered
{
    store::RequestId id;
    store::Outcome outcome;
};

/*! @brief The timer fired; see Core::nextTick(). */
struct Tick
{
};

using Event = std::variant<CallArrived,
                           KeyRequested,
                           CallerGone,
                           PeerMessage,
                           SendFailed,
                           PeerLost,
                           RunEnded,
                           ServerUnreachable,
                           ServerAnnounced,
                           ServerDraining,
                           ServerLeft,
                           ManifestChanged,
                           ManifestAccepted,
                           ConfigurationConfirmed,
                           StoreClockRead,
                           ConfigurationProven,
                           PlatformAnswered,
                           Tick>;

} // namespace egretlatch::decision

#endif
