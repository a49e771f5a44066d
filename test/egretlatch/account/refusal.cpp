#include <doctest/doctest.h>

#include <egretlatch/account/refusal.hpp>

using namespace egretlatch::account;

TEST_CASE("each reason can be found by its name and has an error status")
{
    for (int index = 0; index <= static_cast<int>(RefusalReason::daemonBusy); ++index) {
        const auto reason = static_cast<RefusalReason>(index);
        CHECK((refusalReasonFromString(toString(reason)) == reason));
        CHECK(httpStatus(reason) >= 400);
    }
    CHECK_FALSE(refusalReasonFromString("because"));
}
