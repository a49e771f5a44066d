#ifndef STANDIN_LOAD_RESULT_DOCUMENT_HPP
#define STANDIN_LOAD_RESULT_DOCUMENT_HPP

#include <string>
#include <vector>

#include <QByteArray>

#include <egretlatch/core/clock.hpp>

#include <load/history_record.hpp>
#include <load/load_result.hpp>
#include <load/request_kind.hpp>
#include <load/scenario.hpp>

namespace standin::load
{

/*! @brief Parameters and merged results of a finished run. */
struct FinishedRun
{
    Scenario scenario;
    std::vector<RequestKind> kinds;
    LoadResult result;
    egretlatch::WallTime startedAt;
    int workers{};
};

/**
 * @brief Returns the weighted goodput by second.
 * @param run The run.
 * @return Sum of the worth of the requests completed in each second of the phases.
 */
[[nodiscard]] std::vector<double> weightedGoodput(const FinishedRun &run);

/**
 * @brief Formats the results as JSON.
 * @param run The run.
 * @return JSON text; docs/LOAD.md describes each member.
 */
[[nodiscard]] QByteArray toJson(const FinishedRun &run);

/**
 * @brief Formats the results as plain text.
 * @param run The run.
 * @return Table by request kind, followed by the causes and the recovery time.
 */
[[nodiscard]] std::string toTable(const FinishedRun &run);

/**
 * @brief Formats the attempts of a run as JSON lines, one per attempt.
 * @param kinds Request kinds of the run.
 * @param history The attempts.
 * @return The lines.
 */
[[nodiscard]] QByteArray toHistoryLines(const std::vector<RequestKind> &kinds, const std::vector<HistoryRecord> &history);

} // namespace standin::load

#endif
