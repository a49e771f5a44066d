#ifndef EGRETLATCH_MANIFEST_SERVICE_SPEC_HPP
#define EGRETLATCH_MANIFEST_SERVICE_SPEC_HPP

#include <chrono>
#include <string>
#include <vector>

#include <egretlatch/manifest/kind_spec.hpp>

namespace egretlatch::manifest
{

/*! @brief Operators' declaration of a service. */
struct ServiceSpec
{
    std::string name;
    /*! @brief Requests that a backend server runs concurrently. */
    int slots{};
    /*! @brief Connections that a backend server accepts. */
    int connections{};
    /*! @brief Target queueing delay: time for which a request may wait for a slot before the daemon sheds load. */
    std::chrono::milliseconds queueTarget{20};
    /*! @brief Retries per first attempt that the service accepts, over all callers together. */
    double retryRatio{0.1};
    /*! @brief Path at which a backend server answers health checks; empty if it has none. */
    std::string healthPath{};
    std::vector<KindSpec> kinds;

    friend bool operator==(const ServiceSpec &, const ServiceSpec &) = default;
};

} // namespace egretlatch::manifest

#endif
