#ifndef EGRETLATCH_MANIFEST_CALL_GRAPH_HPP
#define EGRETLATCH_MANIFEST_CALL_GRAPH_HPP

#include <egretlatch/manifest/manifest.hpp>
#include <egretlatch/settings/problem.hpp>

namespace egretlatch::manifest
{

/**
 * @brief Checks the declared calls between kinds.
 *
 * A call of an undeclared kind is an error. A cycle, a deadline shorter than that of a kind it calls, and a cost beyond the deadline are warnings.
 * @param manifest The manifest to check.
 * @return Every problem, with pointers into the document.
 */
[[nodiscard]] settings::Problems checkCallGraph(const Manifest &manifest);

} // namespace egretlatch::manifest

#endif
