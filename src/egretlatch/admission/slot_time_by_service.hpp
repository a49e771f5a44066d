#ifndef EGRETLATCH_ADMISSION_SLOT_TIME_BY_SERVICE_HPP
#define EGRETLATCH_ADMISSION_SLOT_TIME_BY_SERVICE_HPP

#include <map>
#include <string>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/manifest/kind_name.hpp>

namespace egretlatch::admission
{

using manifest::KindName;

/*! @brief Slot time that one request takes at each service of its call chain, by service name. */
using SlotTimeByService = std::map<std::string, Duration>;

} // namespace egretlatch::admission

#endif
