#ifndef TEST_FAKES_COUNTING_METRICS_HPP
#define TEST_FAKES_COUNTING_METRICS_HPP

#include <cstdint>
#include <map>
#include <string>

#include <egretlatch/account/metrics_sink.hpp>

namespace fakes
{

/*! @brief Metrics sink that records counters for tests and discards all other metrics. */
class CountingMetrics final : public egretlatch::account::MetricsSink
{
public:
    void count(const std::string_view name, const std::string_view label) override
    {
        ++m_counters[std::string{name} + "/" + std::string{label}];
    }

    void observe(std::string_view /*name*/, std::string_view /*label*/, egretlatch::Duration /*value*/) override
    {
    }

    void set(std::string_view /*name*/, double /*value*/) override
    {
    }

    /**
     * @brief Returns the value of a counter.
     * @param nameAndLabel Name and label, separated by a slash.
     * @return The value; zero if the counter was never incremented.
     */
    [[nodiscard]] std::uint64_t value(const std::string &nameAndLabel) const
    {
        const auto found = m_counters.find(nameAndLabel);
        return found == m_counters.end() ? 0 : found->second;
    }

private:
    std::map<std::string, std::uint64_t> m_counters;
};

} // namespace fakes

#endif
