#include <egretlatch/membership/rumour.hpp>

namespace egretlatch::membership
{

std::string_view toString(const RumourKind kind) noexcept
{
    switch (kind) {
    case RumourKind::configuration:
        return "configuration";
    case RumourKind::departure:
        return "departure";
    case RumourKind::quarantine:
        return "quarantine";
    }
    return "unknown";
}

std::string daemonRumourKey(const DaemonId &daemon, const std::string &rest)
{
    return daemon.value + '/' + rest;
}

} // namespace egretlatch::membership
