#include <egretlatch/decision/departure_rumour.hpp>

namespace egretlatch::decision
{

namespace internal
{

// Longer than a departing server keeps running, and than one of its heartbeats may be delayed.
constexpr std::chrono::seconds departureLifetime{120};

} // namespace internal

membership::Rumour makeDepartureRumour(const DaemonId &daemon, const std::string &instance)
{
    return {
        .key = {.kind = membership::RumourKind::departure, .key = membership::daemonRumourKey(daemon, instance)},
        .version = 1,
        .payload = {},
        .remaining = internal::departureLifetime,
    };
}

std::optional<std::string> departedInstance(const membership::Rumour &rumour, const DaemonId &daemon)
{
    const std::string prefix = membership::daemonRumourKey(daemon, {});
    if (rumour.key.kind != membership::RumourKind::departure || !rumour.key.key.starts_with(prefix)) {
        return std::nullopt;
    }
    return rumour.key.key.substr(prefix.size());
}

} // namespace egretlatch::decision
