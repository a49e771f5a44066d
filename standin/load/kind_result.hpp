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

/*! @brief Event counts for each second of the run. */
class SecondCounts
{
public:
    /**
     * @brief Increments the count of a second.
     * @param second Second from the start of the run; a negative one is counted in second 0.
     */
    void add(std::int64_t second);

    /**
     * @brief Adds the counts of another object, second by second.
     * @param other Counts to add.
     */
    void add(const SecondCounts &other);

    /**
     * @brief Returns the count of a second.
     * @param second Second from the start of the run.
     * @return The count; zero past the last counted second.
     */
    [[nodiscard]] std::uint64_t at(std::size_t second) const;

    /*! @brief Returns the number of seconds up to the last counted one. */
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_counts.size();
    }

private:
    std::vector<std::uint64_t> m_counts;
};

/*! @brief Results of the requests of one kind. */
struct KindResult
{
    /*! @brief Number of distinct requests, excluding resends. */
    std::uint64_t sent{};
    std::uint64_t attempts{};
    /*! @brief Number of distinct requests by the class and cause of their last attempt. */
    std::map<OutcomeClass, std::map<std::string, std::uint64_t>> requests;
    /*! @brief Number of attempts that did not complete, by cause. */
    std::map<std::string, std::uint64_t> attemptCauses;
    /*! @brief Latency of the completed requests, from the scheduled time of the first attempt to the complete answer. */
    LatencyHistogram latency;
    SecondCounts sentBySecond;
    SecondCounts completedBySecond;

    /**
     * @brief Adds the results of another worker or kind.
     * @param other Results to add.
     */
    void add(const KindResult &other);

    /**
     * @brief Returns the number of requests of a class.
     * @param outcomeClass The class.
     * @return Sum over all causes.
     */
    [[nodiscard]] std::uint64_t countOf(OutcomeClass outcomeClass) const;
};

} // namespace standin::load

#endif
