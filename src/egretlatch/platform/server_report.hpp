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

/*! @brief What a backend server says it is doing. */
enum class ServerReportState {
    ready,
    /*! @brief It is about to leave and asks for no new work. */
    draining,
    /*! @brief It has taken itself out of the list, and may still finish what it has. */
    left,
};

/**
 * @brief Gives a state as text.
 * @param state The state.
 * @return Its name in logs.
 */
[[nodiscard]] std::string_view toString(ServerReportState state) noexcept;

/*! @brief A heartbeat, or a farewell, of the backend server on this VM. */
struct ServerReport
{
    /*! @brief Names one life of a backend server; may be used again after a restart. */
    std::string instance;
    ServerReportState state{ServerReportState::ready};
    /*! @brief Service that it belongs to; empty in a farewell. */
    std::string service;
    /*! @brief Where it listens, as `ADDRESS:PORT`; empty in a farewell. */
    std::string address;
    /*! @brief Requests that it runs at a time; 0 in a farewell. */
    int slots{};
    /*! @brief When this life began, in milliseconds of the calendar clock; 0 if it does not say. */
    std::int64_t startedAtMs{};
    /*! @brief Grows with each report of this life. */
    std::int64_t sequence{};
    /*! @brief How much longer it stays slow after its start. */
    std::chrono::milliseconds coldRemaining{};

    friend bool operator==(const ServerReport &, const ServerReport &) = default;
};

/**
 * @brief Reads a report.
 * @param request What came in.
 * @return The report; `notFound` if the path is none of a report, `malformed` if a field is missing or cannot be read.
 */
[[nodiscard]] Result<ServerReport> readServerReport(const http::Request &request);

/*! @brief The answer that acknowledges a report. */
[[nodiscard]] http::Response acknowledgement();

} // namespace egretlatch::platform

#endif
