#ifndef STANDIN_LOAD_LOAD_COMMAND_HPP
#define STANDIN_LOAD_LOAD_COMMAND_HPP

#include <cstdint>
#include <string>

namespace standin::load
{

/*! @brief Command line options of the load tool. */
struct LoadOptions
{
    std::string scenarioPath;
    std::string meshPath;
    /*! @brief Path of the manifest in force; empty to use the one named in the mesh file. */
    std::string manifestPath;
    std::string outPath;
    /*! @brief Path of the history file; empty to record no history. */
    std::string historyPath;
    /*! @brief Seed that overrides the one of the scenario; zero to keep that one. */
    std::uint64_t seed{};
    /*! @brief Number of worker threads. */
    int workers{2};
    /*! @brief Start time in milliseconds since the Unix epoch; zero to start as soon as the workers are set up. */
    std::int64_t startAtMs{};
};

/**
 * @brief Runs a scenario against a running deployment and writes the results.
 * @param options Command line options.
 * @return Exit code: failure if an input cannot be read or a result cannot be written; failed requests do not affect it.
 */
[[nodiscard]] int runLoad(const LoadOptions &options);

} // namespace standin::load

#endif
