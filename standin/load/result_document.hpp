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

/*! @brief A finished run. */
struct FinishedRun
{
    Scenario scenario;
    std::vector<RequestKind> kinds;
    LoadResult result;
    egretlatch::WallTime startedAt;
    int workers{};
};

/**
 * @brief Gives the weighted goodput by second.
 * @param run The run.
 * @return Worth of the requests completed in each second of the phases.
 */
[[nodiscard]] std::vector<double> weightedGoodput(const FinishedRun &run);

/**
 * @brief Writes a run for programs to read.
 * @param run The run.
 * @return JSON text; docs/LOAD.md says what each number means.
 */
[[nodiscard]] QByteArray toJson(const FinishedRun &run);

/**
 * @brief Writes a run for people to read.
 * @param run The run.
 * @return A table by kind, the causes, and the recovery.
 */
[[nodiscard]] std::string toTable(const FinishedRun &run);

/**
 * @brief Writes the attempts of a run, one line of JSON each.
 * @param kinds The kinds of the run.
 * @param history The attempts.
 * @return The lines.
 */
[[nodiscard]] QByteArray toHistoryLines(const std::vector<RequestKind> &kinds, const std::vector<HistoryRecord> &history);

} // namespace standin::load

#endif
