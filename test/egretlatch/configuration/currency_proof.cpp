#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <fakes/manual_clock.hpp>

#include <egretlatch/configuration/currency_proof.hpp>

using namespace egretlatch;
using namespace egretlatch::configuration;
using namespace std::chrono_literals;

namespace
{

/*! @brief Store and daemon with clocks of their own that pass the same time. */
struct Exchange
{
    [[nodiscard]] store::StoreTime storeNow() const
    {
        return store::StoreTime{std::chrono::floor<std::chrono::milliseconds>(clock.bootNow().time_since_epoch() + storeAhead)};
    }

    // One exchange: the request travels, the store answers, the answer travels.
    void readClock(const Duration there, const Duration back)
    {
        const BootTime sentAt = clock.bootNow();
        clock.advance(there);
        const store::StoreTime now = storeNow();
        clock.advance(back);
        proof.noteClock({.sentAt = sentAt, .now = now});
    }

    fakes::ManualClock clock;
    Duration storeAhead{7h};
    CurrencyProof proof;
};

} // namespace

TEST_CASE("without a reading of the clock or a proof there is no age")
{
    Exchange exchange;
    CHECK_FALSE(exchange.proof.age(exchange.clock.bootNow()).has_value());
    exchange.proof.note(exchange.storeNow());
    CHECK_FALSE(exchange.proof.age(exchange.clock.bootNow()).has_value());
    exchange.readClock(1ms, 1ms);
    CHECK(exchange.proof.age(exchange.clock.bootNow()).has_value());
}

TEST_CASE("a proof that lay in a buffer while its receiver stood still is as old as it is")
{
    // Guards against a withdrawn key that still works: an age would count from the arrival of the message, and the steady clock
    // stands still while the machine is suspended.
    Exchange exchange;
    exchange.readClock(1ms, 1ms);
    const store::StoreTime proven = exchange.storeNow();
    exchange.clock.suspend(6s);
    exchange.proof.note(proven);
    CHECK(*exchange.proof.age(exchange.clock.bootNow()) >= 6s);
}

TEST_CASE("a slow answer of the store makes the bound looser, never tighter")
{
    Exchange exchange;
    exchange.readClock(0ms, 3s);
    exchange.proof.note(exchange.storeNow());
    CHECK(*exchange.proof.age(exchange.clock.bootNow()) <= 2ms);
    Exchange slowRequest;
    slowRequest.readClock(3s, 0ms);
    slowRequest.proof.note(slowRequest.storeNow());
    CHECK(*slowRequest.proof.age(slowRequest.clock.bootNow()) >= 3s);
    slowRequest.readClock(1ms, 1ms);
    CHECK(*slowRequest.proof.age(slowRequest.clock.bootNow()) <= 5ms);
}

TEST_CASE("no order of exchanges, suspensions and messages makes a proof look younger than it is")
{
    CHECK(rc::check("the age is never below the true one", [](const std::vector<std::uint16_t> &steps) {
        Exchange exchange;
        store::StoreTime newest{};
        bool hasProof = false;
        for (const std::uint16_t step : steps) {
            const Duration span = std::chrono::milliseconds{step / 5};
            switch (step % 5) {
            case 0:
                exchange.clock.advance(span);
                break;
            case 1:
                exchange.clock.suspend(span);
                break;
            case 2:
                exchange.readClock(span / 2, span);
                break;
            case 3:
                exchange.readClock(span, span / 3);
                break;
            default:
                newest = exchange.storeNow();
                hasProof = true;
                exchange.clock.suspend(span);
                exchange.proof.note(newest);
                break;
            }
            const auto age = exchange.proof.age(exchange.clock.bootNow());
            if (hasProof && age.has_value()) {
                RC_ASSERT(*age >= exchange.storeNow() - newest);
            }
        }
    }));
}
