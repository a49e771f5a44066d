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

/*! @brief One line of a daemon's log that tells of a request. */
struct RequestLogLine
{
    /*! @brief Time as the line says it; texts of that form sort by time. */
    std::string time;
    std::string daemon;
    std::string event;
    /*! @brief Name of the request; an inner call's begins with its parent's. */
    std::string request;
    QJsonObject fields;

    friend bool operator==(const RequestLogLine &, const RequestLogLine &) = default;
};

/**
 * @brief Gathers what the logs of several daemons tell of one request.
 *
 * Lines may stand in any order, and what stands before the first brace of a line, as a collector's own stamp, is passed over.
 */
class RequestTimeline : public LogReader
{
public:
    /**
     * @brief Begins with nothing.
     * @param request Name of the request; its inner calls belong to the story.
     */
    explicit RequestTimeline(std::string request);

    /**
     * @brief Gives the story in the order in which it happened.
     * @return The lines, of inner calls too.
     */
    [[nodiscard]] std::vector<RequestLogLine> lines() const;

    /**
     * @brief Tells the story in sentences, inner calls set in under their request.
     * @return What to print; `notFound` if no line tells of the request, with what speaks for and against that it went well.
     */
    [[nodiscard]] CommandResult asText() const;

    /**
     * @brief Tells the story as JSON.
     * @return What to print; `notFound` if no line tells of the request.
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
