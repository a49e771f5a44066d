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
#include <egretlatch/manifest/manifest.hpp>
#include <egretlatch/protocol/messages.hpp>
#include <egretlatch/store/requests.hpp>

namespace egretlatch::decision
{

/*! @brief A call as a caller, or a backend server's run, made it over HTTP. */
struct CallerCall
{
    std::string service;
    std::string kind;
    std::string method;
    /*! @brief Path and query that the backend server is to see. */
    std::string path;
    /*! @brief End-to-end headers only. */
    Headers headers;
    QByteArray body;
    /*! @brief Value of `Idempotency-Key`; empty if there was none. */
    std::string key;
    /*! @brief Value of `Request-Timeout-Ms`. */
    std::optional<std::chrono::milliseconds> timeout;
    std::optional<account::TraceContext> trace;
    /*! @brief Value of `Egretlatch-Call`: the run that makes this call; empty for a root. */
    std::string runToken;
    /*! @brief What the caller calls this request, for logs and for telling whose inner call another one is; may be empty. */
    std::string requestName;
    /*! @brief Name of the request whose run seems to make this call; empty for none. A hint: if it leads to no run here, the call is a root. */
    std::string parentName;

    friend bool operator==(const CallerCall &, const CallerCall &) = default;
};

/*! @brief A call came in over HTTP. */
struct CallArrived
{
    ExchangeId exchange;
    CallerCall call;
};

/*! @brief A caller asks for a request key. */
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

/*! @brief Another daemon, or this one, sent a message. */
struct PeerMessage
{
    protocol::Envelope envelope;
};

/*! @brief A message could not be handed to the transport; it has not left this daemon. */
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

/*! @brief What a backend server answered. */
struct RunAnswer
{
    int status{};
    Headers headers;
    QByteArray body;

    friend bool operator==(const RunAnswer &, const RunAnswer &) = default;
};

/*! @brief Why a run gave no answer. */
enum class RunFailure {
    /*! @brief No connection could be opened; nothing was sent. */
    neverConnected,
    /*! @brief The backend server said, with 503 and `Egretlatch-Verdict: not-run`, that it did not start. */
    rejected,
    /*! @brief The connection was lost after the request was sent. */
    lost,
};

/*! @brief A run at the backend server ended. */
struct RunEnded
{
    ExecutionId execution;
    std::variant<RunAnswer, RunFailure> result;
};

/*! @brief The backend server beside this daemon announced itself. */
struct ServerAnnounced
{
    std::string service;
    int slots{};
    int connections{};
    /*! @brief Names the process, so that a new one is told from one that drains; may be empty. */
    std::string instance;

    friend bool operator==(const ServerAnnounced &, const ServerAnnounced &) = default;
};

/*! @brief The backend server, or an operator's signal, asks to take no new work. */
struct ServerDraining
{
    /*! @brief Instance name of the server that leaves; empty for the one that is here. */
    std::string instance{};
    /*! @brief Whether the daemon itself is to end once nothing is in flight. */
    bool isShutdown{};
    /*! @brief Whether the daemon was told to end, rather than its backend server. */
    bool isSignal{};
};

/*! @brief The backend server has gone. */
struct ServerLeft
{
};

/*! @brief A configuration is to be put in force. */
struct ManifestChanged
{
    std::uint64_t version{};
    std::shared_ptr<const manifest::Manifest> manifest;
};

/*! @brief Where operators submit, a configuration has been accepted. */
struct ManifestAccepted
{
    std::uint64_t version{};
    QByteArray document;
};

/*! @brief The platform answered, or did not in time. */
struct PlatformAnswered
{
    store::RequestId id;
    store::Outcome outcome;
};

/*! @brief Time passed. */
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
                           ServerAnnounced,
                           ServerDraining,
                           ServerLeft,
                           ManifestChanged,
                           ManifestAccepted,
                           PlatformAnswered,
                           Tick>;

} // namespace egretlatch::decision

#endif
