#ifndef EGRETLATCH_ROUTING_KIND_AVERAGES_HPP
#define EGRETLATCH_ROUTING_KIND_AVERAGES_HPP

#include <cstddef>
#include <map>
#include <string>

#include <egretlatch/core/clock.hpp>

namespace egretlatch::routing
{

/*! @brief Moving averages of latency and size of the answers of one service, by kind, over all of its servers. */
class KindAverages
{
public:
    /**
     * @brief Adds an answer.
     * @param kind Kind of the call.
     * @param latency Time from sending the call to receiving the answer.
     * @param bytes Size of the answer's body in bytes.
     */
    void note(const std::string &kind, Duration latency, std::size_t bytes);

    /**
     * @brief Returns the average latency of an answer.
     * @param kind Kind of the call.
     * @return The latency, or a default of 100 ms for an unknown kind.
     */
    [[nodiscard]] Duration latency(const std::string &kind) const;

    /**
     * @brief Returns the average size of an answer.
     * @param kind Kind of the call.
     * @return The size in bytes, or 0 for an unknown kind.
     */
    [[nodiscard]] double bytes(const std::string &kind) const;

private:
    struct Average
    {
        Duration latency{};
        double bytes{};
    };

    std::map<std::string, Average> m_kinds;
};

} // namespace egretlatch::routing

#endif
