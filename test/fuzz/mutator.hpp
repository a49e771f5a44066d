#ifndef TEST_FUZZ_MUTATOR_HPP
#define TEST_FUZZ_MUTATOR_HPP

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace fuzz
{

/*! @brief Makes inputs from a corpus by random changes; the same seed gives the same inputs. */
class Mutator
{
public:
    /**
     * @brief Builds a mutator.
     * @param corpus Inputs to start from; not empty.
     * @param seed Seed of the changes.
     */
    Mutator(std::vector<std::string> corpus, std::uint64_t seed);

    /*! @brief Returns the next input. */
    [[nodiscard]] std::string next();

    /*! @brief Returns a number below `bound`, which is above zero. */
    [[nodiscard]] std::size_t below(std::size_t bound);

private:
    void change(std::string &text);

    std::vector<std::string> m_corpus;
    std::mt19937_64 m_random;
};

} // namespace fuzz

#endif
