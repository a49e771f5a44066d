#ifndef EGRETLATCH_ROUTING_SUBSET_HPP
#define EGRETLATCH_ROUTING_SUBSET_HPP

#include <cstddef>
#include <vector>

#include <egretlatch/core/ids.hpp>

namespace egretlatch::routing
{

/**
 * @brief Selects the servers of a large service that one daemon sends calls to, by rendezvous hashing.
 *
 * The selection needs no coordination and is deterministic for a daemon. A server that joins or leaves changes one entry of
 * each subset that it belongs to.
 * @param chooser The daemon that selects.
 * @param servers All servers.
 * @param size Number of servers to select.
 * @return The selected servers, sorted by id; all servers if there are no more than size.
 */
[[nodiscard]] std::vector<DaemonId> subsetOf(const DaemonId &chooser, std::vector<DaemonId> servers, std::size_t size);

} // namespace egretlatch::routing

#endif
