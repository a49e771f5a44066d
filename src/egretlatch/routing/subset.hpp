#ifndef EGRETLATCH_ROUTING_SUBSET_HPP
#define EGRETLATCH_ROUTING_SUBSET_HPP

#include <cstddef>
#include <vector>

#include <egretlatch/core/ids.hpp>

namespace egretlatch::routing
{

/**
 * @brief Chooses the servers of a large service that one daemon talks to, by rendezvous hashing.
 *
 * Each daemon chooses alone and the same daemons choose the same way each time; a server that comes or goes changes one
 * place of those subsets that it belongs to.
 * @param chooser The daemon that chooses.
 * @param servers All servers.
 * @param size Servers to choose.
 * @return The chosen ones in order of their ids; all of them if there are no more than that.
 */
[[nodiscard]] std::vector<DaemonId> subsetOf(const DaemonId &chooser, std::vector<DaemonId> servers, std::size_t size);

} // namespace egretlatch::routing

#endif
