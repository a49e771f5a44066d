#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <egretlatch/admission/request_identity.hpp>

using namespace egretlatch::admission;

namespace
{

constexpr RequestParts parts{.kind = "read", .method = "GET", .path = "/a/1", .body = "body", .service = "history", .account = "club"};

RequestIdentity changed(void (*change)(RequestParts &))
{
    RequestParts other = parts;
    change(other);
    return identityOf(other);
}

} // namespace

TEST_CASE("requests that differ in kind, method, path or body have different content")
{
    const RequestFingerprint content = identityOf(parts).content;
    CHECK(content == identityOf(parts).content);
    CHECK(content != changed([](RequestParts &other) {
                         other.kind = "other";
                     }).content);
    CHECK(content != changed([](RequestParts &other) {
                         other.method = "POST";
                     }).content);
    CHECK(content != changed([](RequestParts &other) {
                         other.path = "/a/2";
                     }).content);
    CHECK(content != changed([](RequestParts &other) {
                         other.body = "other";
                     }).content);
}

TEST_CASE("equal requests from different services or client accounts differ only in their caller")
{
    const RequestIdentity identity = identityOf(parts);
    for (const RequestIdentity &other : {changed([](RequestParts &each) {
                                             each.service = "log";
                                         }),
                                         changed([](RequestParts &each) {
                                             each.account = "tower";
                                         })}) {
        CHECK(other.content == identity.content);
        CHECK(other.caller != identity.caller);
    }
}

TEST_CASE("identities survive serialization, and arbitrary bytes are parsed without errors")
{
    CHECK(rc::check("round trip", [](const std::vector<std::pair<std::uint64_t, std::uint64_t>> &numbers) {
        std::vector<RequestIdentity> requests;
        requests.reserve(numbers.size());
        for (const auto &[content, caller] : numbers) {
            requests.push_back({.content = content, .caller = caller});
        }
        const std::vector<RequestIdentity> read = identitiesFrom(toBytes(requests));
        requests.resize(std::min(requests.size(), maxIdentitiesPerMessage));
        RC_ASSERT(read == requests);
    }));
    CHECK(rc::check("arbitrary bytes", [](const std::string &bytes) {
        RC_ASSERT(identitiesFrom(bytes).size() == bytes.size() / sizeof(RequestIdentity));
    }));
}
