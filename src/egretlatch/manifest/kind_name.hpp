#ifndef EGRETLATCH_MANIFEST_KIND_NAME_HPP
#define EGRETLATCH_MANIFEST_KIND_NAME_HPP

#include <string>
#include <utility>

namespace egretlatch::manifest
{

/*! @brief A request kind of a service: the service's name, then the kind's. */
using KindName = std::pair<std::string, std::string>;

} // namespace egretlatch::manifest

#endif
