#include <doctest/doctest.h>

#include <fakes/manual_clock.hpp>

#include <egretlatch/sidecar/server_confirmation.hpp>

using namespace egretlatch;
using namespace egretlatch::sidecar;
using namespace std::chrono_literals;

namespace
{

[[nodiscard]] decision::ServerAnnounced announcementOf(const std::string &incarnation)
{
    return {.service = "log", .slots = 8, .connections = 8, .instance = incarnation};
}

} // namespace

TEST_CASE("a late report of a server that has left brings it no requests after all daemons were lost")
{
    // Guards against requests for a server that left: its departure was known only to daemons that were killed.
    fakes::ManualClock clock;
    ServerConfirmation confirmation;
    CHECK_FALSE(confirmation.handleAnnounced(announcementOf("i-1#5"), "i-1", clock.steadyNow()).has_value());
    CHECK(confirmation.isHolding());
    CHECK_FALSE(confirmation.handleHealth({.instance = "i-1", .isServing = false}).has_value());
    CHECK(confirmation.isHolding());
}

TEST_CASE("a server that confirms itself is announced at once, and not checked again")
{
    fakes::ManualClock clock;
    ServerConfirmation confirmation;
    CHECK_FALSE(confirmation.handleAnnounced(announcementOf("i-1#5"), "i-1", clock.steadyNow()).has_value());
    CHECK(confirmation.handleHealth({.instance = "i-1", .isServing = true}) == announcementOf("i-1#5"));
    CHECK_FALSE(confirmation.isHolding());
    CHECK(confirmation.handleAnnounced(announcementOf("i-2#9"), "i-2", clock.steadyNow()) == announcementOf("i-2#9"));
}

TEST_CASE("a server whose health check is wrong is announced by its second report")
{
    fakes::ManualClock clock;
    ServerConfirmation confirmation;
    CHECK_FALSE(confirmation.handleAnnounced(announcementOf("i-1#5"), "i-1", clock.steadyNow()).has_value());
    CHECK_FALSE(confirmation.handleHealth({.instance = "i-1", .isServing = false}).has_value());
    clock.advance(1500ms);
    CHECK(confirmation.handleAnnounced(announcementOf("i-1#5"), "i-1", clock.steadyNow()) == announcementOf("i-1#5"));
}

TEST_CASE("two reports that were delayed together do not confirm a server that has left")
{
    fakes::ManualClock clock;
    ServerConfirmation confirmation;
    CHECK_FALSE(confirmation.handleAnnounced(announcementOf("i-1#5"), "i-1", clock.steadyNow()).has_value());
    clock.advance(20ms);
    CHECK_FALSE(confirmation.handleAnnounced(announcementOf("i-1#5"), "i-1", clock.steadyNow()).has_value());
}

TEST_CASE("the health of another incarnation at the address confirms nothing")
{
    fakes::ManualClock clock;
    ServerConfirmation confirmation;
    CHECK_FALSE(confirmation.handleAnnounced(announcementOf("i-1#5"), "i-1", clock.steadyNow()).has_value());
    CHECK_FALSE(confirmation.handleHealth({.instance = "i-2", .isServing = true}).has_value());
    CHECK_FALSE(confirmation.handleHealth({.instance = "", .isServing = true}).has_value());
}

TEST_CASE("a server that leaves while its announcement is held back stays unannounced")
{
    fakes::ManualClock clock;
    ServerConfirmation confirmation;
    CHECK_FALSE(confirmation.handleAnnounced(announcementOf("i-1#5"), "i-1", clock.steadyNow()).has_value());
    confirmation.handleLeaving();
    CHECK_FALSE(confirmation.handleHealth({.instance = "i-1", .isServing = true}).has_value());
}
