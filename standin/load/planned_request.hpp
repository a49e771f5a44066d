#ifndef STANDIN_LOAD_PLANNED_REQUEST_HPP
#define STANDIN_LOAD_PLANNED_REQUEST_HPP

#include <cstddef>
#include <string>
#include <vector>

#include <egretlatch/core/clock.hpp>

namespace standin::load
{

/*! @brief Request scheduled for a fixed time, independent of the outcome of earlier requests. */
struct PlannedRequest
{
    /*! @brief Scheduled send time, from the start of the run. */
    egretlatch::Duration at{};
    /*! @brief Index into the request kinds of the run. */
    std::size_t kind{};
    /*! @brief True if the caller closes the connection before the answer. */
    bool isCancelledByCaller{};
    /*! @brief Body to send; empty to generate one from the name of the request. */
    std::string body;

    friend bool operator==(const PlannedRequest &, const PlannedRequest &) = default;
};

using Schedule = std::vector<PlannedRequest>;

} // namespace standin::load

#endif
