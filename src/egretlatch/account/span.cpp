#include <egretlatch/account/span.hpp>

namespace egretlatch::account
{

std::string_view toString(const Hop hop) noexcept
{
    switch (hop) {
    case Hop::entry:
        return "entry";
    case Hop::attempt:
        return "attempt";
    case Hop::serving:
        return "serving";
    }
    return "entry";
}

} // namespace egretlatch::account
