#ifndef STANDIN_LATENCY_PROBE_HPP
#define STANDIN_LATENCY_PROBE_HPP

#include <cstdint>
#include <string>

namespace standin
{

/*! @brief Command line options of the latency probe. */
struct ProbeOptions
{
    std::uint16_t port{};
    std::string path;
    /*! @brief Value of the `Egretlatch-Kind` header, required if the request goes to a backend server directly; empty to omit the header. */
    std::string kind;
    /*! @brief Requests per second over all connections. */
    int rate{};
    int seconds{};
    int connections{32};
};

/**
 * @brief Sends identical GET requests at a fixed rate over blocking connections and prints the latencies as one line of JSON.
 *
 * Latency is measured from the scheduled send time, so that the delay that a slow response causes to the next request on the
 * same connection is included (no coordinated omission). The probe has minimal overhead and is meant for comparing two paths
 * of the same request, not for generating load.
 * @param options Request and rate.
 * @return Exit code: 0 if every response had status 200.
 */
[[nodiscard]] int runProbe(const ProbeOptions &options);

} // namespace standin

#endif
