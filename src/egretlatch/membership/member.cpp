#include <egretlatch/membership/member.hpp>

namespace egretlatch::membership
{

std::string_view toString(const MemberState state) noexcept
{
    switch (state) {
    case MemberState::idle:
        return "idle";
    case MemberState::serving:
        return "serving";
    case MemberState::draining:
        return "draining";
    case MemberState::suspect:
        return "suspect";
    case MemberState::gone:
        break;
    }
    return "gone";
}

} // namespace egretlatch::membership
