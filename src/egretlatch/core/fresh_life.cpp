#include <egretlatch/core/fresh_life.hpp>

#include <random>

namespace egretlatch
{

std::uint64_t freshSeed()
{
    std::random_device device;
    constexpr int halfBits = 32;
    return (static_cast<std::uint64_t>(device()) << halfBits) | device();
}

Incarnation incarnationAt(const Clock &clock)
{
    return {static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count())};
}

} // namespace egretlatch
