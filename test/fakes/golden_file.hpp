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
 * @brief Checks that a text equals a file in test/golden, byte for byte.
 *
 * If EGRETLATCH_WRITE_GOLDEN is set, the file is overwritten with the text and the check fails, so that no test passes by
 * updating its golden file.
 * @param name Name of the file.
 * @param text Text to compare.
 */
inline void checkGolden(const std::string &name, const std::string &text)
{
    const std::string path = std::string{EGRETLATCH_GOLDEN_FOLDER} + "/" + name;
    if (std::getenv("EGRETLATCH_WRITE_GOLDEN") != nullptr) {
        std::ofstream{path, std::ios::binary} << text;
        FAIL_CHECK("golden file updated: ", path);
        return;
    }
    std::ifstream file{path, std::ios::binary};
    std::ostringstream golden;
    golden << file.rdbuf();
    CHECK(golden.str() == text);
}

} // namespace fakes

#endif
