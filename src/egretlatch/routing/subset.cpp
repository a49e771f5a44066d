#include <egretlatch/routing/subset.hpp>

#include <algorithm>
#include <cstdint>

#include <xxhash.h>

namespace egretlatch::routing
{

std::vector<DaemonId> subsetOf(const DaemonId &chooser, std::vector<DaemonId> servers, const std::size_t size)
{
    if (servers.size() > size) {
        const std::uint64_t seed = XXH64(chooser.value.data(), chooser.value.size(), 0);
        const auto weightOf = [seed](const DaemonId &server) {
            return XXH64(server.value.data(), server.value.size(), seed);
        };
        const auto end = servers.begin() + static_cast<std::ptrdiff_t>(size);
        std::nth_element(servers.begin(), end, servers.end(), [&weightOf](const DaemonId &left, const DaemonId &right) {
            return weightOf(left) > weightOf(right);
        });
        servers.erase(end, servers.end());
    }
    std::sort(servers.begin(), servers.end());
    return servers;
}

} // namespace egretlatch::routing
