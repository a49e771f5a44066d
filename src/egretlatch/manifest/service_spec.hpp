#ifndef EGRETLATCH_MANIFEST_SERVICE_SPEC_HPP
#define EGRETLATCH_MANIFEST_SERVICE_SPEC_HPP

#include <chrono>
#include <string>
#include <vector>

#include <egretlatch/manifest/kind_spec.hpp>

namespace egretlatch::manifest
{

/*! @brief What the operators declare of one service. */
struct ServiceSpec
{
    std::string name;
    /*! @brief Requests that one backend server runs at a time. */
    int slots{};
    /*! @brief Connections that one backend server takes. */
    int connections{};
    /*! @brief Time that a request may wait for a slot before the daemon sheds. */
    std::chrono::milliseconds queueTarget{20};
    /*! @brief Retries per first attempt that the service takes, over all callers together. */
    double retryRatio{0.1};
    std::vector<KindSpec> kinds;

    friend bool operator==(const ServiceSpec &, const ServiceSpec &) = default;
};

} // namespace egretlatch::manifest

#endif
