#ifndef EGRETLATCH_CLI_REQUEST_TIMELINE_HPP
#define EGRETLATCH_CLI_REQUEST_TIMELINE_HPP

#include <string>
#include <vector>

#include <QJsonObject>

#include <egretlatch/cli/log_reader.hpp>
#include <egretlatch/cli/platform_port.hpp>
#include <egretlatch/cli/submit_command.hpp>

namespace egretlatch::cli
{

/*! @brief A line of a daemon's log about a request. */
struct RequestLogLine
{
    /*! @brief Time as text in the format of the log, which sorts by time. */
    std::string time;
    std::string daemon;
    std::string event;
    /*! @brief Name of the request; the name of an inner call begins with that of its parent. */
    std::string request;
    QJsonObject fields;

    friend bool operator==(const RequestLogLine &, const RequestLogLine &) = default;
};

/**
 * @brief Collects the lines about one request and its inner calls from the logs of several daemons.
 *
 * Lines may be in any order; any text before the first brace of a line, such as a log collector's timestamp, is skipped.
 */
class RequestTimeline : public LogReader
{
public:
    /**
     * @brief Builds an empty timeline.
     * @param request Name of the request; its inner calls are included.
     */
    explicit RequestTimeline(std::string request);

    /**
     * @brief Returns the lines in the order in which they happened.
     * @return The lines, including those of inner calls.
     */
    [[nodiscard]] std::vector<RequestLogLine> lines() const;

    /**
     * @brief Formats the timeline as sentences, with inner calls indented below their request.
     * @return The text to print; `notFound` if no line mentions the request, with the gaps in the logs that leave open whether
     * it succeeded.
     */
    [[nodiscard]] CommandResult asText() const;

    /**
     * @brief Formats the timeline as JSON.
     * @return The text to print; `notFound` if no line mentions the request.
     */
    [[nodiscard]] CommandResult asJson() const;

private:
    void processLine(const QJsonObject &fields) override;
    [[nodiscard]] bool belongsToRequest(const std::string &request) const;
    [[nodiscard]] std::size_t depthOf(const std::string &request) const;

    std::string m_request;
    std::vector<RequestLogLine> m_lines;
};

} // namespace egretlatch::cli

#endif
