#ifndef EGRETLATCH_MANIFEST_ROUTE_SPEC_HPP
#define EGRETLATCH_MANIFEST_ROUTE_SPEC_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace egretlatch::manifest
{

/*! @brief A service to which a route sends requests. */
struct RouteTarget
{
    std::string service;
    /*! @brief Relative weight; the target gets its weight divided by the sum of all weights as its share of the requests. */
    int weight{1};

    friend bool operator==(const RouteTarget &, const RouteTarget &) = default;
};

/*! @brief Maps plain HTTP requests to a kind, for callers that name neither service nor kind. */
struct RouteSpec
{
    std::string name;
    /*! @brief Value of the `Host` header without the port, in lower case. */
    std::string host;
    /*! @brief Prefix of the path; begins and ends with a slash. */
    std::string prefix;
    /*! @brief Name of the kind; each target declares it. */
    std::string kind;
    /*! @brief Services of the route; at least one has a weight above zero. */
    std::vector<RouteTarget> targets;

    friend bool operator==(const RouteSpec &, const RouteSpec &) = default;
};

/*! @brief Size and time limits for callers of routes. */
struct CallerLimits
{
    std::uint32_t headerBytes{16U * 1024U};
    std::uint64_t bodyBytes{8ULL * 1024U * 1024U};
    /*! @brief Maximum time from the first byte of a request to the end of its header. */
    std::chrono::milliseconds headerTimeout{5000};
    /*! @brief Maximum time without a request on an open connection. */
    std::chrono::milliseconds idleTimeout{30'000};

    friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

} // namespace egretlatch::manifest

#endif
