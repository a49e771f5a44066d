#include <egretlatch/decision/departure_news.hpp>

namespace egretlatch::decision
{

namespace internal
{

// Longer than a server stays that has said that it leaves, and than a heartbeat of its may be held up.
constexpr std::chrono::seconds departureLife{120};

} // namespace internal

membership::Rumour departureNews(const DaemonId &daemon, const std::string &instance)
{
    return {
        .key = {.kind = membership::RumourKind::departure, .key = membership::daemonRumourKey(daemon, instance)},
        .version = 1,
        .payload = {},
        .remaining = internal::departureLife,
    };
}

std::optional<std::string> departedBeside(const membership::Rumour &rumour, const DaemonId &daemon)
{
    const std::string prefix = membership::daemonRumourKey(daemon, {});
    if (rumour.key.kind != membership::RumourKind::departure || !rumour.key.key.starts_with(prefix)) {
        return std::nullopt;
    }
    return rumour.key.key.substr(prefix.size());
}

} // namespace egretlatch::decision
