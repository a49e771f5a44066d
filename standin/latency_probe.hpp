#ifndef STANDIN_LATENCY_PROBE_HPP
#define STANDIN_LATENCY_PROBE_HPP

#include <cstdint>
#include <string>

namespace standin
{

/*! @brief What the latency probe is told on its command line. */
struct ProbeOptions
{
    std::uint16_t port{};
    std::string path;
    /*! @brief Value of `Egretlatch-Kind`, for a backend server asked without a daemon; empty for none. */
    std::string kind;
    int rate{};
    int seconds{};
    int connections{32};
};

/**
 * @brief Sends the same GET at a fixed rate over blocking connections and prints one line of JSON.
 *
 * Times count from the intended moment of sending, so that a slow answer does not hide the wait of the next request.
 * It does as little as possible itself, and is for comparing two ways of the same request, not for load.
 * @param options What to send, and how often.
 * @return Exit code: 0 if every answer was 200.
 */
[[nodiscard]] int runProbe(const ProbeOptions &options);

} // namespace standin

#endif
