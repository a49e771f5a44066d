#ifndef TEST_FAKES_GOLDEN_FILE_HPP
#define TEST_FAKES_GOLDEN_FILE_HPP

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

#include <doctest/doctest.h>

namespace fakes
{

/**
 * @brief Compares a text with a file of test/golden, byte for byte.
 *
 * With EGRETLATCH_WRITE_GOLDEN set, the file is written anew and the check fails, so that no run passes by writing.
 * @param name Name of the file.
 * @param text The text.
 */
inline void checkGolden(const std::string &name, const std::string &text)
{
    const std::string path = std::string{EGRETLATCH_GOLDEN_FOLDER} + "/" + name;
    if (std::getenv("EGRETLATCH_WRITE_GOLDEN") != nullptr) {
        std::ofstream{path, std::ios::binary} << text;
        FAIL_CHECK("written anew: ", path);
        return;
    }
    std::ifstream file{path, std::ios::binary};
    std::ostringstream golden;
    golden << file.rdbuf();
    CHECK(golden.str() == text);
}

} // namespace fakes

#endif
