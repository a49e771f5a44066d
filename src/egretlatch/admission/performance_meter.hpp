#ifndef EGRETLATCH_ADMISSION_PERFORMANCE_METER_HPP
#define EGRETLATCH_ADMISSION_PERFORMANCE_METER_HPP

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <egretlatch/admission/kind_performance.hpp>

namespace egretlatch::admission
{

/*! @brief Measures run times and failures of the local backend server, by kind. */
class PerformanceMeter
{
public:
    /**
     * @brief Records a successful run.
     * @param kind Kind of the request.
     * @param ownTime Time of the run without its waits for inner calls.
     * @param now Current time.
     */
    void noteCompleted(const std::string &kind, Duration ownTime, SteadyTime now);

    /**
     * @brief Records a run that failed at the server itself.
     * @param kind Kind of the request.
     * @param now Current time.
     */
    void noteFailed(const std::string &kind, SteadyTime now);

    /**
     * @brief Records an abandoned run, whose full time would have been longer.
     * @param kind Kind of the request.
     * @param ownTime Time of the run so far, without its waits for inner calls.
     * @param now Current time.
     */
    void noteAbandoned(const std::string &kind, Duration ownTime, SteadyTime now);

    /**
     * @brief Returns the performance for one kind.
     * @param kind Kind of the request.
     * @param now Current time.
     * @return The performance, or nothing if there were too few runs or none recently.
     */
    [[nodiscard]] std::optional<KindPerformance> performanceOf(const std::string &kind, SteadyTime now) const;

    /**
     * @brief Returns the performance to be reported to other daemons.
     * @param now Current time.
     * @return The performance for the kinds that ran recently, at most `maxReportedKinds`.
     */
    [[nodiscard]] std::vector<KindPerformance> performance(SteadyTime now) const;

    /*! @brief Discards all measurements, because another server has taken the place of the old one. */
    void clear();

    /*! @brief Maximum number of kinds reported for one server; each adds about 20 bytes to a message. */
    static constexpr std::size_t maxReportedKinds = 4;

private:
    struct Entry
    {
        Duration ownTime{};
        double failureShare{};
        int runs{};
        SteadyTime last;
    };

    [[nodiscard]] Entry &entryOf(const std::string &kind);
    [[nodiscard]] static bool isKnown(const Entry &entry, SteadyTime now);

    std::map<std::string, Entry> m_entries;
};

} // namespace egretlatch::admission

#endif
