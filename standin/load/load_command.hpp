#ifndef STANDIN_LOAD_LOAD_COMMAND_HPP
#define STANDIN_LOAD_LOAD_COMMAND_HPP

#include <cstdint>
#include <string>

namespace standin::load
{

/*! @brief What the load tool is told on its command line. */
struct LoadOptions
{
    std::string scenarioPath;
    std::string meshPath;
    /*! @brief Empty for the manifest that the mesh names. */
    std::string manifestPath;
    std::string outPath;
    /*! @brief Empty for no history. */
    std::string historyPath;
    /*! @brief Zero for the seed of the scenario. */
    std::uint64_t seed{};
    int workers{2};
    /*! @brief Calendar time of the start in milliseconds; zero for at once. */
    std::int64_t startAtMs{};
};

/**
 * @brief Runs a scenario against a running deployment, and writes what came of it.
 * @param options What to run.
 * @return Exit code.
 */
[[nodiscard]] int runLoad(const LoadOptions &options);

} // namespace standin::load

#endif
