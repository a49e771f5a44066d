#ifndef EGRETLATCH_ROUTING_KIND_AVERAGES_HPP
#define EGRETLATCH_ROUTING_KIND_AVERAGES_HPP

#include <cstddef>
#include <map>
#include <string>

#include <egretlatch/core/clock.hpp>

namespace egretlatch::routing
{

/*! @brief What answers of one service take and weigh, by kind, over all of its servers. */
class KindAverages
{
public:
    /**
     * @brief Takes an answer.
     * @param kind Kind of the call.
     * @param latency From sending to the answer.
     * @param bytes Size of the answer's body.
     */
    void note(const std::string &kind, Duration latency, std::size_t bytes);

    /**
     * @brief Gives the usual time to an answer.
     * @param kind Kind of the call.
     * @return The time, or that of a middling call for a kind that was not seen.
     */
    [[nodiscard]] Duration latency(const std::string &kind) const;

    /**
     * @brief Gives the usual size of an answer.
     * @param kind Kind of the call.
     * @return The size in bytes, or 0 for a kind that was not seen.
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
