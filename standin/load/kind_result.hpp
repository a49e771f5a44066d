#ifndef STANDIN_LOAD_KIND_RESULT_HPP
#define STANDIN_LOAD_KIND_RESULT_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <load/attempt_outcome.hpp>
#include <load/latency_histogram.hpp>

namespace standin::load
{

/*! @brief Numbers by second of the run. */
class SecondCounts
{
public:
    /**
     * @brief Counts one.
     * @param second Second from the start of the run; negative ones count as the first.
     */
    void add(std::int64_t second);

    /**
     * @brief Adds the numbers of another.
     * @param other The other one.
     */
    void add(const SecondCounts &other);

    /**
     * @brief Gives the number of a second.
     * @param second Second from the start of the run.
     * @return How many were counted in it.
     */
    [[nodiscard]] std::uint64_t at(std::size_t second) const;

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_counts.size();
    }

private:
    std::vector<std::uint64_t> m_counts;
};

/*! @brief What became of the requests of one kind. */
struct KindResult
{
    /*! @brief Distinct requests, however often each was resent. */
    std::uint64_t sent{};
    std::uint64_t attempts{};
    /*! @brief Distinct requests by the outcome of the last attempt. */
    std::map<OutcomeClass, std::map<std::string, std::uint64_t>> requests;
    /*! @brief Attempts that did not complete, by cause. */
    std::map<std::string, std::uint64_t> attemptCauses;
    /*! @brief Completed requests, from the intended time of the first attempt to the whole answer. */
    LatencyHistogram latency;
    SecondCounts sentBySecond;
    SecondCounts completedBySecond;

    /**
     * @brief Adds the numbers of another worker.
     * @param other The other result.
     */
    void add(const KindResult &other);

    /**
     * @brief Counts the requests of a class.
     * @param outcomeClass The class.
     * @return Sum over its causes.
     */
    [[nodiscard]] std::uint64_t countOf(OutcomeClass outcomeClass) const;
};

} // namespace standin::load

#endif
