#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <egretlatch/retry/request_key.hpp>

using namespace egretlatch;
using namespace egretlatch::retry;

namespace internal
{

[[nodiscard]] static RequestKey minted(const std::string &daemon = "launch-log-1")
{
    SeededRandom random{5};
    return RequestKey::mint({.daemon = {daemon}, .incarnation = {77}}, std::chrono::milliseconds{1234}, random);
}

} // namespace internal

TEST_CASE("a minted key names its owner and its age")
{
    const auto read = RequestKey::parse(internal::minted("a~1.b").text());

    REQUIRE(read.has_value());
    CHECK(read->owner() == KeyOwner{.daemon = {"a~1.b"}, .incarnation = {77}});
    CHECK(read->age() == std::chrono::milliseconds{1234});
    CHECK(read->resend() == 0);
}

TEST_CASE("keys of any other form name no owner")
{
    const std::string text = internal::minted().text();
    CHECK_FALSE(RequestKey::parse(""));
    CHECK_FALSE(RequestKey::parse("018f3f2e-0000-7000-8000-000000000000"));
    CHECK_FALSE(RequestKey::parse(text.substr(0, text.size() - 1)));
    CHECK_FALSE(RequestKey::parse("el2" + text.substr(3)));
}

TEST_CASE("a resend has its own key, and leads back to the previous key")
{
    const RequestKey first = internal::minted();
    const RequestKey third = first.next().next();

    CHECK(third.resend() == 2);
    CHECK(RequestKey::parse(third.text()) == third);
    CHECK(third.previous() == first.next());
    CHECK(third.previous()->previous() == first);
    CHECK_FALSE(first.previous());
}

TEST_CASE("the same inner call of a repeated run has the same key and owner")
{
    const RequestKey root = internal::minted();

    CHECK(root.derive("append 0") == root.derive("append 0"));
    CHECK(root.derive("append 0") != root.derive("append 1"));
    CHECK(root.derive("append 0").owner() == root.owner());
    CHECK(root.derive("append 0").age() == root.age());
}

TEST_CASE("any text is parsed without a crash")
{
    CHECK(rc::check([](const std::string &text) {
        static_cast<void>(RequestKey::parse("el1-" + text));
    }));
}
