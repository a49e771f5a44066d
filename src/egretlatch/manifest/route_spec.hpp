#ifndef EGRETLATCH_MANIFEST_ROUTE_SPEC_HPP
#define EGRETLATCH_MANIFEST_ROUTE_SPEC_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace egretlatch::manifest
{

/*! @brief A service that a route leads to. */
struct RouteTarget
{
    std::string service;
    /*! @brief Its share of the route's requests is its weight over the sum of the weights. */
    int weight{1};

    friend bool operator==(const RouteTarget &, const RouteTarget &) = default;
};

/*! @brief Which plain HTTP requests are of which kind, for callers that name neither service nor kind. */
struct RouteSpec
{
    std::string name;
    /*! @brief Value of `Host` without the port, in lower case. */
    std::string host;
    /*! @brief Beginning of the path; begins and ends with a slash. */
    std::string prefix;
    /*! @brief The kind, declared at each target. */
    std::string kind;
    /*! @brief At least one. */
    std::vector<RouteTarget> targets;

    friend bool operator==(const RouteSpec &, const RouteSpec &) = default;
};

/*! @brief What callers of routes may send, and how long they may take. */
struct CallerLimits
{
    std::uint32_t headerBytes{16U * 1024U};
    std::uint64_t bodyBytes{8ULL * 1024U * 1024U};
    /*! @brief From the first byte of a request to the end of its header. */
    std::chrono::milliseconds headerTimeout{5000};
    /*! @brief Without a request on an open connection. */
    std::chrono::milliseconds idleTimeout{30'000};

    friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

} // namespace egretlatch::manifest

#endif
