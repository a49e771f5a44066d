#include <egretlatch/core/new_incarnation.hpp>

#include <random>

namespace egretlatch
{

std::uint64_t randomSeed()
{
    std::random_device device;
    constexpr int halfBits = 32;
    return (static_cast<std::uint64_t>(device()) << halfBits) | device();
}

Incarnation newIncarnation(const Clock &clock)
{
    return {static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count())};
}

} // namespace egretlatch
