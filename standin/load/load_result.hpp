#ifndef STANDIN_LOAD_LOAD_RESULT_HPP
#define STANDIN_LOAD_LOAD_RESULT_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <load/kind_result.hpp>

namespace standin::load
{

/*! @brief Results of one worker, or the sum over all workers. */
struct LoadResult
{
    /*! @brief Results by kind, in the order of the request kinds of the run. */
    std::vector<KindResult> kinds;
    SecondCounts attemptsBySecond;
    /*! @brief Attempts that did not complete, by cause and second. */
    std::map<std::string, SecondCounts> causesBySecond;
    /*! @brief Delay of the first attempt of each request after its scheduled time, caused by the load tool itself. */
    LatencyHistogram sendLag;
    /*! @brief Requests not sent because the worker had reached its limit of open requests. */
    std::uint64_t skippedRequests{};

    /**
     * @brief Adds the results of another worker.
     * @param other Results to add.
     */
    void add(const LoadResult &other);
};

} // namespace standin::load

#endif
