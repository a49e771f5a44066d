#ifndef EGRETLATCH_PLATFORM_SERVER_REPORT_HPP
#define EGRETLATCH_PLATFORM_SERVER_REPORT_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include <egretlatch/core/error.hpp>
#include <egretlatch/http/message.hpp>

namespace egretlatch::platform
{

/*! @brief State that a backend server reports. */
enum class ServerReportState {
    ready,
    /*! @brief The server is about to leave and wants no new requests. */
    draining,
    /*! @brief The server has deregistered; it may still complete requests in flight. */
    left,
};

/**
 * @brief Returns a state as text.
 * @param state The state.
 * @return Its name in logs.
 */
[[nodiscard]] std::string_view toString(ServerReportState state) noexcept;

/*! @brief Heartbeat or deregistration of the backend server on this VM. */
struct ServerReport
{
    /*! @brief Id of one incarnation of a backend server; may be reused after a restart. */
    std::string instance;
    ServerReportState state{ServerReportState::ready};
    /*! @brief Service of the server; empty in a deregistration. */
    std::string service;
    /*! @brief Address that it listens on, as `ADDRESS:PORT`; empty in a deregistration. */
    std::string address;
    /*! @brief Maximum number of concurrent requests; 0 in a deregistration. */
    int slots{};
    /*! @brief Start of this incarnation, in milliseconds of the calendar clock; 0 if not reported. */
    std::int64_t startedAtMs{};
    /*! @brief Sequence number, which grows with each report of an incarnation. */
    std::int64_t sequence{};
    /*! @brief Remaining time of the slow phase after a start. */
    std::chrono::milliseconds coldRemaining{};

    friend bool operator==(const ServerReport &, const ServerReport &) = default;
};

/**
 * @brief Reads a report.
 * @param request The HTTP request.
 * @return The report; `notFound` if the method or path is not that of a report, `malformed` if a field is missing or invalid.
 */
[[nodiscard]] Result<ServerReport> readServerReport(const http::Request &request);

/*! @brief Returns the answer that acknowledges a report. */
[[nodiscard]] http::Response acknowledgement();

} // namespace egretlatch::platform

#endif
