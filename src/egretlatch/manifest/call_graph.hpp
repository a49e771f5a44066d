#ifndef EGRETLATCH_MANIFEST_CALL_GRAPH_HPP
#define EGRETLATCH_MANIFEST_CALL_GRAPH_HPP

#include <egretlatch/manifest/manifest.hpp>
#include <egretlatch/settings/problem.hpp>

namespace egretlatch::manifest
{

/**
 * @brief Validates the declared calls between kinds.
 *
 * A call to an undeclared kind is an error. A cycle, a deadline shorter than that of a called kind,
 * and limits that cannot be met (a cost, or the total cost of the call tree, beyond the deadline; a queue target not below it)
 * are warnings.
 * @param manifest The manifest to check.
 * @return Every problem, with its JSON pointer into the document.
 */
[[nodiscard]] settings::Problems checkCallGraph(const Manifest &manifest);

} // namespace egretlatch::manifest

#endif
