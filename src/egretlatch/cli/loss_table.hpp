#ifndef EGRETLATCH_CLI_LOSS_TABLE_HPP
#define EGRETLATCH_CLI_LOSS_TABLE_HPP

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include <QJsonObject>

#include <egretlatch/cli/log_reader.hpp>
#include <egretlatch/cli/submit_command.hpp>

namespace egretlatch::cli
{

/**
 * @brief Aggregates refused requests from the logs of several daemons by time, kind, reason and daemon.
 *
 * Only requests sent by callers are counted: the refusal of an inner call shows in the outcome of its root.
 */
class LossTable : public LogReader
{
public:
    /**
     * @brief Builds an empty table.
     * @param span Length of the intervals over which losses are summed.
     */
    explicit LossTable(std::chrono::seconds span);

    /**
     * @brief Formats the table as text: intervals in order of time, the greatest worth first within each.
     * @return The text to print.
     */
    [[nodiscard]] CommandResult asText() const;

    /**
     * @brief Formats the table as JSON.
     * @return The text to print.
     */
    [[nodiscard]] CommandResult asJson() const;

private:
    struct Row
    {
        /*! @brief Start of the interval, in seconds since the Unix epoch. */
        std::int64_t begin{};
        std::string kind;
        std::string reason;
        /*! @brief Daemon to which the request was last sent; empty if it was sent to none. */
        std::string daemon;

        friend auto operator<=>(const Row &, const Row &) = default;
    };

    struct Loss
    {
        int requests{};
        double worth{};
    };

    void processLine(const QJsonObject &fields) override;

    std::chrono::seconds m_span;
    std::map<Row, Loss> m_losses;
};

} // namespace egretlatch::cli

#endif
