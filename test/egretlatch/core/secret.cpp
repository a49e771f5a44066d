#include <doctest/doctest.h>

#include <egretlatch/core/secret.hpp>

using namespace egretlatch;

TEST_CASE("a secret matches only its own token, and an empty secret matches nothing")
{
    const Secret secret{"token"};
    CHECK(secret.matches("token"));
    CHECK(secret.matchesBearer("Bearer token"));
    CHECK_FALSE(secret.matches("tokentoken"));
    CHECK_FALSE(secret.matches("toke"));
    CHECK_FALSE(secret.matches(""));
    CHECK_FALSE(secret.matchesBearer("token"));
    CHECK_FALSE(Secret{}.matches(""));
    CHECK_FALSE(Secret{}.matchesBearer("Bearer "));
}

TEST_CASE("the digest of a secret depends on its token alone, and an empty secret has none")
{
    CHECK(Secret{"token"}.digest() == Secret{"token"}.digest());
    CHECK(Secret{"token"}.digest() != Secret{"Token"}.digest());
    CHECK(Secret{"token"}.digest().size() == 64);
    CHECK(Secret{}.digest().empty());
}
