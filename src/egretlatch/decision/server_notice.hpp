#ifndef EGRETLATCH_DECISION_SERVER_NOTICE_HPP
#define EGRETLATCH_DECISION_SERVER_NOTICE_HPP

#include <optional>

namespace egretlatch::decision
{

/*! @brief Statements of a backend server about itself in an answer. */
struct ServerNotice
{
    /*! @brief Requests per second that it takes from all daemons together; empty if it names no limit. */
    std::optional<double> requestsPerSecond;
    /*! @brief Set if it names a limit that cannot be read. */
    bool hasUnreadableLimit{};
    /*! @brief Set if it is about to leave. */
    bool isLeaving{};

    friend bool operator==(const ServerNotice &, const ServerNotice &) = default;
};

} // namespace egretlatch::decision

#endif
