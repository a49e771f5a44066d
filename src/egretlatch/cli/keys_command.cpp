#include <egretlatch/cli/keys_command.hpp>

#include <array>

#include <zmq.h>

#include <fmt/format.h>

#include <egretlatch/cli/exit_code.hpp>

namespace egretlatch::cli
{

int makeKeys()
{
    constexpr std::size_t textSize = 41;
    std::array<char, textSize> publicKey{};
    std::array<char, textSize> secretKey{};
    if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0) {
        fmt::print(stderr, "egretlatch: this ZeroMQ library was built without CURVE\n");
        return ExitCode::unavailable;
    }
    // Z85 has neither quotes nor backslashes, so the texts need no escaping.
    fmt::print("{{\"publicKey\": \"{}\", \"secretKey\": \"{}\"}}\n", publicKey.data(), secretKey.data());
    return ExitCode::success;
}

} // namespace egretlatch::cli
