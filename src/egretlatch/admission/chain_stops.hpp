#ifndef EGRETLATCH_ADMISSION_CHAIN_STOPS_HPP
#define EGRETLATCH_ADMISSION_CHAIN_STOPS_HPP

#include <map>
#include <string>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/manifest/kind_name.hpp>

namespace egretlatch::admission
{

using manifest::KindName;

/*! @brief Slot time that one request takes at each service down its chain. */
using ChainStops = std::map<std::string, Duration>;

} // namespace egretlatch::admission

#endif
