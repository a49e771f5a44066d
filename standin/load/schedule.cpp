#include <load/schedule.hpp>

#include <algorithm>

namespace standin::load
{

namespace internal
{

/*! @brief Smooth weighted round-robin over the kinds: after any number of requests, the count of each kind is within one of its share. */
class WeightedRoundRobin
{
public:
    explicit WeightedRoundRobin(const std::vector<KindShare> &kinds)
        : m_kinds{kinds}
        , m_credits(kinds.size(), 0.0)
    {
        for (const KindShare &kind : kinds) {
            m_total += kind.share;
        }
    }

    [[nodiscard]] std::size_t next()
    {
        for (std::size_t index = 0; index < m_kinds.size(); ++index) {
            m_credits[index] += m_kinds[index].share;
        }
        const auto selected = std::max_element(m_credits.begin(), m_credits.end());
        *selected -= m_total;
        return static_cast<std::size_t>(selected - m_credits.begin());
    }

private:
    const std::vector<KindShare> &m_kinds;
    std::vector<double> m_credits;
    double m_total{};
};

static void addSecond(
    const int second, const int rate, const CallerBehaviour &callers, WeightedRoundRobin &roundRobin, egretlatch::RandomSource &random, Schedule &schedule)
{
    const std::size_t first = schedule.size();
    for (int number = 0; number < rate; ++number) {
        const auto offset = std::chrono::duration_cast<egretlatch::Duration>(std::chrono::duration<double>{random.fraction()});
        const bool isCancelledByCaller = random.fraction() < callers.cancelShare;
        schedule.push_back({.at = std::chrono::seconds{second} + offset, .kind = roundRobin.next(), .isCancelledByCaller = isCancelledByCaller, .body = {}});
    }
    std::sort(schedule.begin() + static_cast<std::ptrdiff_t>(first), schedule.end(), [](const PlannedRequest &left, const PlannedRequest &right) {
        return left.at < right.at;
    });
}

static void addSingles(const Scenario &scenario, Schedule &schedule)
{
    for (const SingleRequest &single : scenario.singles) {
        const auto kind = std::find_if(scenario.kinds.begin(), scenario.kinds.end(), [&single](const KindShare &candidate) {
            return candidate.service == single.service && candidate.kind == single.kind;
        });
        if (kind == scenario.kinds.end()) {
            continue;
        }
        const auto index = static_cast<std::size_t>(kind - scenario.kinds.begin());
        for (int number = 0; number < single.count; ++number) {
            schedule.push_back({.at = single.at, .kind = index, .isCancelledByCaller = false, .body = single.body});
        }
    }
}

} // namespace internal

Schedule makeSchedule(const Scenario &scenario, egretlatch::RandomSource &random)
{
    Schedule schedule;
    if (scenario.kinds.empty()) {
        return schedule;
    }
    internal::WeightedRoundRobin roundRobin{scenario.kinds};
    int second = 0;
    for (const Phase &phase : scenario.phases) {
        for (int phaseSecond = 0; phaseSecond < phase.seconds; ++phaseSecond) {
            internal::addSecond(second, phase.rate, scenario.callers, roundRobin, random, schedule);
            ++second;
        }
    }
    internal::addSingles(scenario, schedule);
    std::stable_sort(schedule.begin(), schedule.end(), [](const PlannedRequest &left, const PlannedRequest &right) {
        return left.at < right.at;
    });
    return schedule;
}

} // namespace standin::load
