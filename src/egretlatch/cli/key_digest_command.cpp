#include <egretlatch/cli/key_digest_command.hpp>

#include <iostream>
#include <string>

#include <fmt/format.h>

#include <egretlatch/cli/exit_code.hpp>
#include <egretlatch/core/secret.hpp>

namespace egretlatch::cli
{

int printKeyDigest()
{
    // Not an argument: command lines are visible to other users of the machine, and kept in histories.
    std::string key;
    if (!std::getline(std::cin, key) || key.empty()) {
        fmt::print(stderr, "no API key on standard input\n");
        return ExitCode::badInput;
    }
    fmt::print("{}\n", Secret{std::move(key)}.digest());
    return ExitCode::success;
}

} // namespace egretlatch::cli
