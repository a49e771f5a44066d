#ifndef STANDIN_LOAD_PLANNED_REQUEST_HPP
#define STANDIN_LOAD_PLANNED_REQUEST_HPP

#include <cstddef>
#include <string>
#include <vector>

#include <egretlatch/core/clock.hpp>

namespace standin::load
{

/*! @brief A request that is to be sent at a time, whatever became of those before it. */
struct PlannedRequest
{
    /*! @brief Time from the start of the run. */
    egretlatch::Duration at{};
    /*! @brief Index into the kinds of the run. */
    std::size_t kind{};
    bool isCancelledByCaller{};
    /*! @brief Body to send; empty for one made from the request's number. */
    std::string body;

    friend bool operator==(const PlannedRequest &, const PlannedRequest &) = default;
};

using Schedule = std::vector<PlannedRequest>;

} // namespace standin::load

#endif
