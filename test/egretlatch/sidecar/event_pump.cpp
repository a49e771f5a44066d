#include <doctest/doctest.h>

#include <stdexcept>
#include <string>
#include <vector>

#include <egretlatch/sidecar/event_pump.hpp>

using namespace egretlatch;
using namespace egretlatch::sidecar;

namespace
{

struct Fixture
{
    std::vector<std::uint64_t> handled;
    int settled{};
    std::vector<std::string> failures;
    EventPump pump{{.onEvent =
                        [this](const decision::Event &event) {
                            handle(std::get<decision::CallerGone>(event).exchange.value);
                        },
                    .onSettled =
                        [this] {
                            ++settled;
                        },
                    .onFailed =
                        [this](const std::string_view reason) {
                            failures.emplace_back(reason);
                        }}};

    void post(const std::uint64_t number)
    {
        pump.post(decision::CallerGone{.exchange = {number}});
    }

    // Number 1 posts two events while it is handled; 13 fails, 14 with something that is no exception object.
    void handle(const std::uint64_t number)
    {
        handled.push_back(number);
        if (number == 1) {
            post(2);
            post(3);
        }
        if (number == 13) {
            post(2);
            throw std::length_error{"too long"};
        }
        if (number == 14) {
            throw number;
        }
    }
};

} // namespace

TEST_CASE("events that are posted while one is handled follow it in order")
{
    Fixture fixture;
    fixture.post(1);
    CHECK(fixture.handled == std::vector<std::uint64_t>{1, 2, 3});
    CHECK(fixture.settled == 1);
}

TEST_CASE("an exception of the decision core is reported once, and the core gets no more events")
{
    // Guards against a process that ends with all of its connections, or goes on with a core in an unknown state.
    Fixture fixture;
    fixture.post(13);
    CHECK(fixture.pump.hasFailed());
    fixture.post(4);
    CHECK(fixture.handled == std::vector<std::uint64_t>{13});
    CHECK(fixture.failures == std::vector<std::string>{"too long"});
    CHECK(fixture.settled == 0);
}

TEST_CASE("anything that is thrown counts as a failure of the decision core")
{
    Fixture fixture;
    fixture.post(14);
    CHECK(fixture.failures == std::vector<std::string>{"unknown exception"});
}
