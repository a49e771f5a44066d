#include <egretlatch/account/metrics_registry.hpp>

#include <algorithm>
#include <chrono>

#include <fmt/format.h>

namespace egretlatch::account
{

namespace internal
{

/*! @brief Label name of a metric. */
struct LabelName
{
    std::string_view metric;
    std::string_view label;
};

constexpr std::array<LabelName, 14> labelNames{{
    {.metric = "answers", .label = "verdict"},
    {.metric = "attempt_duration", .label = "service"},
    {.metric = "attempts", .label = "service"},
    {.metric = "call_duration", .label = "service"},
    {.metric = "first_attempts", .label = "service"},
    {.metric = "members", .label = "state"},
    {.metric = "moves", .label = "service"},
    {.metric = "queue_delay", .label = "service"},
    {.metric = "refusals", .label = "reason"},
    {.metric = "retries", .label = "service"},
    {.metric = "retries_denied", .label = "service"},
    {.metric = "run_duration", .label = "service"},
    {.metric = "server_crashes", .label = "service"},
    {.metric = "store_calls", .label = "outcome"},
}};

[[nodiscard]] static std::string_view labelNameOf(const std::string_view metric)
{
    const auto *const found = std::find_if(labelNames.begin(), labelNames.end(), [metric](const LabelName &name) {
        return name.metric == metric;
    });
    return found == labelNames.end() ? std::string_view{"label"} : found->label;
}

[[nodiscard]] static std::string labelText(const std::string_view metric, const std::string &label)
{
    return label.empty() ? std::string{} : fmt::format("{{{}=\"{}\"}}", labelNameOf(metric), label);
}

// Prometheus expects the type of a metric once, before its samples.
static void writeType(std::string &text, std::string &last, const std::string &name, const std::string_view type)
{
    if (name != last) {
        fmt::format_to(std::back_inserter(text), "# TYPE {} {}\n", name, type);
        last = name;
    }
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
    Histogram &histogram = m_histograms[Key{name, label}];
    histogram.summary(seconds);
    const auto *const end = std::lower_bound(bucketBounds.begin(), bucketBounds.end(), seconds);
    if (end != bucketBounds.end()) {
        ++histogram.buckets.at(static_cast<std::size_t>(end - bucketBounds.begin()));
    }
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
    std::string last;
    const auto out = std::back_inserter(text);
    for (const auto &[key, value] : m_counters) {
        const std::string name = fmt::format("egretlatch_{}_total", key.first);
        internal::writeType(text, last, name, "counter");
        fmt::format_to(out, "{}{} {}\n", name, internal::labelText(key.first, key.second), value);
    }
    for (const auto &[gauge, value] : m_gauges) {
        const std::string name = fmt::format("egretlatch_{}", gauge);
        internal::writeType(text, last, name.substr(0, name.find('{')), "gauge");
        fmt::format_to(out, "{} {}\n", name, value);
    }
    for (const auto &[key, histogram] : m_histograms) {
        internal::writeType(text, last, fmt::format("egretlatch_{}_seconds", key.first), "histogram");
        writeHistogram(key, histogram, text);
    }
    return text;
}

void MetricsRegistry::writeHistogram(const Key &key, const Histogram &histogram, std::string &text) const
{
    const auto out = std::back_inserter(text);
    const std::string name = fmt::format("egretlatch_{}_seconds", key.first);
    const std::string label = key.second.empty() ? std::string{} : fmt::format("{}=\"{}\",", internal::labelNameOf(key.first), key.second);
    std::uint64_t below = 0;
    for (std::size_t index = 0; index < bucketBounds.size(); ++index) {
        below += histogram.buckets.at(index);
        fmt::format_to(out, "{}_bucket{{{}le=\"{:g}\"}} {}\n", name, label, bucketBounds.at(index), below);
    }
    const auto count = boost::accumulators::count(histogram.summary);
    const std::string braces = internal::labelText(key.first, key.second);
    fmt::format_to(out, "{}_bucket{{{}le=\"+Inf\"}} {}\n", name, label, count);
    fmt::format_to(out, "{}_sum{} {}\n", name, braces, boost::accumulators::sum(histogram.summary));
    fmt::format_to(out, "{}_count{} {}\n", name, braces, count);
}

} // namespace egretlatch::account
