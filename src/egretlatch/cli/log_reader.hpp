#ifndef EGRETLATCH_CLI_LOG_READER_HPP
#define EGRETLATCH_CLI_LOG_READER_HPP

#include <cstdint>
#include <string>

#include <QByteArray>
#include <QJsonObject>

namespace egretlatch::cli
{

/*! @brief Reads logs of daemons line by line, and counts what is missing in them. */
class LogReader
{
public:
    virtual ~LogReader() = default;

    /**
     * @brief Takes lines.
     * @param log Whole lines; those that are no log lines are counted.
     */
    void read(const QByteArray &log);

protected:
    LogReader() = default;
    LogReader(const LogReader &) = default;
    LogReader &operator=(const LogReader &) = default;

    /**
     * @brief Takes one line.
     * @param fields Its fields.
     */
    virtual void processLine(const QJsonObject &fields) = 0;

    /**
     * @brief Says in sentences what is missing.
     * @return A line for each cause; empty if nothing is.
     */
    [[nodiscard]] std::string describeGaps() const;

    /**
     * @brief Puts the counts of what is missing into a document.
     * @param document The document.
     */
    void addGapCounts(QJsonObject &document) const;

private:
    std::uint64_t m_linesUnreadable{};
    std::uint64_t m_linesLeftOut{};
};

} // namespace egretlatch::cli

#endif
