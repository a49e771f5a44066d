#include <doctest/doctest.h>

#include <egretlatch/membership/roster.hpp>

using namespace std::chrono_literals;
using egretlatch::SteadyTime;
using egretlatch::membership::Member;
using egretlatch::membership::MemberState;
using egretlatch::membership::MergeOutcome;
using egretlatch::membership::Roster;
using egretlatch::membership::UpdateSource;

namespace
{

[[nodiscard]] Member makeMember(const char *const id, const std::uint64_t incarnation, const std::uint64_t revision)
{
    Member member;
    member.id = {id};
    member.incarnation = {incarnation};
    member.revision = revision;
    member.state = MemberState::serving;
    return member;
}

} // namespace

TEST_CASE("a higher incarnation overrides any revision of a lower one")
{
    Roster roster{makeMember("self", 1, 0)};
    CHECK(roster.merge(makeMember("other", 5, 9), UpdateSource::rumour, SteadyTime{}) == MergeOutcome::changed);
    CHECK(roster.merge(makeMember("other", 4, 99), UpdateSource::rumour, SteadyTime{}) == MergeOutcome::unchanged);
    CHECK(roster.merge(makeMember("other", 6, 0), UpdateSource::rumour, SteadyTime{}) == MergeOutcome::changed);
    CHECK(roster.find({"other"})->incarnation.value == 6);
}

TEST_CASE("a suspicion overrides its own revision and is refuted by the next")
{
    Roster roster{makeMember("self", 1, 0)};
    roster.merge(makeMember("other", 1, 3), UpdateSource::rumour, SteadyTime{});
    CHECK(roster.suspect({.id = {"other"}, .incarnation = {1}, .revision = 2}, SteadyTime{}) == MergeOutcome::unchanged);
    CHECK(roster.suspect({.id = {"other"}, .incarnation = {1}, .revision = 3}, SteadyTime{}) == MergeOutcome::changed);
    CHECK(roster.merge(makeMember("other", 1, 3), UpdateSource::rumour, SteadyTime{}) == MergeOutcome::unchanged);
    CHECK((roster.find({"other"})->state == MemberState::suspect));
    CHECK(roster.merge(makeMember("other", 1, 4), UpdateSource::rumour, SteadyTime{}) == MergeOutcome::changed);
    CHECK((roster.find({"other"})->state == MemberState::serving));
}

TEST_CASE("a daemon overrides suspicions and wrong entries of itself, but not its next incarnation")
{
    Roster roster{makeMember("self", 7, 2)};
    CHECK(roster.suspect({.id = {"self"}, .incarnation = {7}, .revision = 2}, SteadyTime{}) == MergeOutcome::refuted);
    CHECK(roster.self().revision == 3);
    CHECK(roster.suspect({.id = {"self"}, .incarnation = {6}, .revision = 9}, SteadyTime{}) == MergeOutcome::unchanged);
    CHECK(roster.merge(makeMember("self", 7, 5), UpdateSource::rumour, SteadyTime{}) == MergeOutcome::refuted);
    CHECK(roster.self().revision == 6);
    CHECK(roster.merge(makeMember("self", 8, 9), UpdateSource::rumour, SteadyTime{}) == MergeOutcome::unchanged);
    CHECK(roster.self().revision == 6);
}

TEST_CASE("a member that timed out as gone is restored by a later heartbeat, but not by an old one")
{
    // After a partition each region learns from pulls that the other's members are alive. An entry from before the timeout
    // must not restore a dead member: daemons would go on passing the entry of an unreachable member to each other.
    Roster roster{makeMember("self", 1, 0)};
    Member other = makeMember("other", 1, 0);
    other.beat = 4;
    roster.merge(other, UpdateSource::pull, SteadyTime{});
    roster.suspect({.id = {"other"}, .incarnation = {1}, .revision = 0}, SteadyTime{});
    CHECK(roster.tick(SteadyTime{} + 60s));
    CHECK((roster.find({"other"})->state == MemberState::gone));
    CHECK(roster.findAnnounced({"other"}) == nullptr);
    CHECK(roster.merge(other, UpdateSource::pull, SteadyTime{} + 61s) == MergeOutcome::unchanged);
    other.beat = 5;
    CHECK(roster.merge(other, UpdateSource::pull, SteadyTime{} + 62s) == MergeOutcome::changed);
    CHECK((roster.find({"other"})->state == MemberState::serving));
}

TEST_CASE("gone members are removed only after hours")
{
    Roster roster{makeMember("self", 1, 0)};
    roster.merge(makeMember("other", 1, 0), UpdateSource::rumour, SteadyTime{});
    roster.suspect({.id = {"other"}, .incarnation = {1}, .revision = 0}, SteadyTime{});
    roster.tick(SteadyTime{} + 1min);
    roster.tick(SteadyTime{} + 5h);
    CHECK(roster.find({"other"}) != nullptr);
    roster.tick(SteadyTime{} + 7h);
    CHECK(roster.find({"other"}) == nullptr);
}
