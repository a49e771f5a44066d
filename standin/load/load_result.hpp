#ifndef STANDIN_LOAD_LOAD_RESULT_HPP
#define STANDIN_LOAD_LOAD_RESULT_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <load/kind_result.hpp>

namespace standin::load
{

/*! @brief What a worker, or all workers together, saw. */
struct LoadResult
{
    /*! @brief In the order of the run's kinds. */
    std::vector<KindResult> kinds;
    SecondCounts attemptsBySecond;
    /*! @brief Attempts that did not complete, by cause. */
    std::map<std::string, SecondCounts> causesBySecond;
    /*! @brief How late the tool sent, against the intended times. */
    LatencyHistogram sendLag;
    /*! @brief Requests left out because too many were open at a time. */
    std::uint64_t skippedRequests{};

    /**
     * @brief Adds what another worker saw.
     * @param other The other result.
     */
    void add(const LoadResult &other);
};

} // namespace standin::load

#endif
