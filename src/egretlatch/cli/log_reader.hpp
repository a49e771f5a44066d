#ifndef EGRETLATCH_CLI_LOG_READER_HPP
#define EGRETLATCH_CLI_LOG_READER_HPP

#include <cstdint>
#include <string>

#include <QByteArray>
#include <QJsonObject>

namespace egretlatch::cli
{

/*! @brief Reads daemon logs line by line and counts the lines that are missing or unreadable. */
class LogReader
{
public:
    virtual ~LogReader() = default;

    /**
     * @brief Processes the lines of a log.
     * @param log Complete lines; those that are not log lines are counted as unreadable.
     */
    void read(const QByteArray &log);

protected:
    LogReader() = default;
    LogReader(const LogReader &) = default;
    LogReader &operator=(const LogReader &) = default;

    /**
     * @brief Processes one line.
     * @param fields Its fields.
     */
    virtual void processLine(const QJsonObject &fields) = 0;

    /**
     * @brief Describes the lines that are missing or unreadable.
     * @return A line of text for each cause; empty if the logs are complete.
     */
    [[nodiscard]] std::string describeGaps() const;

    /**
     * @brief Adds the counts of missing and unreadable lines to a document.
     * @param document The document.
     */
    void addGapCounts(QJsonObject &document) const;

private:
    std::uint64_t m_linesUnreadable{};
    std::uint64_t m_linesOmitted{};
};

} // namespace egretlatch::cli

#endif
