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
 * @brief Sums up, from the logs of several daemons, what callers were refused: when, of which kind, why and at which daemon.
 *
 * Only callers' own requests count: an inner call that is refused shows in what becomes of its root.
 */
class LossTable : public LogReader
{
public:
    /**
     * @brief Begins with nothing.
     * @param span Length of the spans of time that are summed up.
     */
    explicit LossTable(std::chrono::seconds span);

    /**
     * @brief Gives the table, spans in their order and the greatest worth of each first.
     * @return What to print.
     */
    [[nodiscard]] CommandResult asText() const;

    /**
     * @brief Gives the table as JSON.
     * @return What to print.
     */
    [[nodiscard]] CommandResult asJson() const;

private:
    struct Row
    {
        /*! @brief Begin of the span, in seconds of Unix time. */
        std::int64_t begin{};
        std::string kind;
        std::string reason;
        /*! @brief Daemon that was asked last; empty if none was. */
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
