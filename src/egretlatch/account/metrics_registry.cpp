#include <egretlatch/account/metrics_registry.hpp>

#include <array>
#include <chrono>

#include <fmt/format.h>

namespace egretlatch::account
{

namespace internal
{

constexpr std::array<double, 4> quantiles{0.5, 0.9, 0.99, 0.999};

[[nodiscard]] static std::string labelText(const std::string &label)
{
    return label.empty() ? std::string{} : fmt::format("{{label=\"{}\"}}", label);
}

} // namespace internal

void MetricsRegistry::count(const std::string_view name, const std::string_view label)
{
    const std::lock_guard lock{m_mutex};
    ++m_counters[Key{name, label}];
}

void MetricsRegistry::observe(const std::string_view name, const std::string_view label, const Duration value)
{
    const double seconds = std::chrono::duration<double>{value}.count();
    const std::lock_guard lock{m_mutex};
    const auto [summary, isNew] = m_summaries.try_emplace(Key{name, label}, boost::accumulators::extended_p_square_probabilities = internal::quantiles);
    summary->second(seconds);
}

void MetricsRegistry::set(const std::string_view name, const double value)
{
    const std::lock_guard lock{m_mutex};
    m_gauges[std::string{name}] = value;
}

std::string MetricsRegistry::toPrometheus() const
{
    const std::lock_guard lock{m_mutex};
    std::string text;
    const auto out = std::back_inserter(text);
    for (const auto &[key, value] : m_counters) {
        fmt::format_to(out, "egretlatch_{}_total{} {}\n", key.first, internal::labelText(key.second), value);
    }
    for (const auto &[name, value] : m_gauges) {
        fmt::format_to(out, "egretlatch_{} {}\n", name, value);
    }
    for (const auto &[key, summary] : m_summaries) {
        const auto estimates = boost::accumulators::extended_p_square(summary);
        for (std::ptrdiff_t index = 0; index < std::ssize(internal::quantiles); ++index) {
            fmt::format_to(out,
                           "egretlatch_{}_seconds{{label=\"{}\",quantile=\"{}\"}} {}\n",
                           key.first,
                           key.second,
                           internal::quantiles.at(static_cast<std::size_t>(index)),
                           estimates[index]);
        }
        const std::string label = internal::labelText(key.second);
        fmt::format_to(out, "egretlatch_{}_seconds_sum{} {}\n", key.first, label, boost::accumulators::sum(summary));
        fmt::format_to(out, "egretlatch_{}_seconds_count{} {}\n", key.first, label, boost::accumulators::count(summary));
    }
    return text;
}

} // namespace egretlatch::account
