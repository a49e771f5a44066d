#include <doctest/doctest.h>

#include <egretlatch/account/refusal.hpp>

using namespace egretlatch::account;

TEST_CASE("each reason is found again by its name")
{
    for (int index = 0; index <= static_cast<int>(RefusalReason::daemonBusy); ++index) {
        const auto reason = static_cast<RefusalReason>(index);
        CHECK((refusalReasonFromString(toString(reason)) == reason));
        CHECK(httpStatus(reason) >= 400);
    }
    CHECK_FALSE(refusalReasonFromString("because"));
}
