#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

#include <fakes/fake_platform_port.hpp>

#include <egretlatch/cli/submit_command.hpp>
#include <egretlatch/configuration/submission.hpp>
#include <egretlatch/core/content_hash.hpp>

using namespace egretlatch;
using namespace egretlatch::configuration;

namespace
{

[[nodiscard]] SubmissionRequest makeRequest(const std::uint64_t base, const std::string &id)
{
    SubmissionRequest request;
    request.base = base;
    request.manifest = QByteArray::fromStdString("{\"" + id + "\":1}");
    request.id = id;
    request.submitter = "operator of " + id;
    return request;
}

[[nodiscard]] cli::CommandResult run(standin::PlatformStore &store, const SubmissionRequest &request, std::deque<fakes::ScriptedOutcome> outcomes = {})
{
    SeededRandom random{1};
    fakes::FakePlatformPort port{store, std::move(outcomes)};
    return cli::submit(request, port, random, std::chrono::seconds{30});
}

[[nodiscard]] Head readHead(standin::PlatformStore &store)
{
    return *decodeHead(std::get<store::RowsReply>(*store.apply(store::TableRead{.key = headKey})).rows.front().value);
}

constexpr std::deque<fakes::ScriptedOutcome>::size_type requestsPerSubmission = 3;

} // namespace

TEST_CASE("an accepted manifest is in the object store under its hash")
{
    standin::PlatformStore store;
    const SubmissionRequest request = makeRequest(0, "first");
    CHECK(run(store, request).code == cli::ExitCode::success);
    const Head head = readHead(store);
    CHECK(head.version == 1);
    CHECK(head.hash == contentHash(request.manifest));
    const auto object = std::get<store::ObjectReply>(*store.apply(store::ObjectGet{.name = objectName(head.hash)}));
    CHECK(object.bytes == request.manifest);
}

TEST_CASE("a submission has the same result whichever of its responses is lost")
{
    // After a lost response, a deployment pipeline could report a failure for a change that is in force, or submit it twice
    // as two versions. Here each request of a submission is lost in turn, or its response, or the platform is down.
    for (const fakes::ScriptedOutcome outcome : {fakes::ScriptedOutcome::answerLost, fakes::ScriptedOutcome::requestLost, fakes::ScriptedOutcome::down}) {
        for (std::size_t position = 0; position < requestsPerSubmission; ++position) {
            standin::PlatformStore store;
            std::deque<fakes::ScriptedOutcome> outcomes(position, fakes::ScriptedOutcome::answered);
            outcomes.push_back(outcome);
            CHECK(run(store, makeRequest(0, "first"), outcomes).code == cli::ExitCode::success);
            CHECK(readHead(store).version == 1);
        }
    }
}

TEST_CASE("resubmitting the same submission yields the same version, even after newer ones")
{
    standin::PlatformStore store;
    CHECK(run(store, makeRequest(0, "first")).code == cli::ExitCode::success);
    CHECK(run(store, makeRequest(1, "second")).code == cli::ExitCode::success);
    CHECK(run(store, makeRequest(0, "first")).code == cli::ExitCode::success);
    CHECK(readHead(store).version == 2);
    CHECK(readHead(store).submission == "second");
}

TEST_CASE("an id reused for a different manifest gets a conflict")
{
    standin::PlatformStore store;
    CHECK(run(store, makeRequest(0, "first")).code == cli::ExitCode::success);
    SubmissionRequest other = makeRequest(0, "first");
    other.manifest = "{\"other\":1}";
    CHECK(run(store, other).code == cli::ExitCode::conflict);
}

TEST_CASE("a submission abandoned while its result is unknown reports this and can be resumed")
{
    standin::PlatformStore store;
    std::deque<fakes::ScriptedOutcome> outcomes{fakes::ScriptedOutcome::answered, fakes::ScriptedOutcome::answered, fakes::ScriptedOutcome::answerLost};
    outcomes.insert(outcomes.end(), 100, fakes::ScriptedOutcome::down);
    CHECK(run(store, makeRequest(0, "first"), outcomes).code == cli::ExitCode::unsure);
    CHECK(run(store, makeRequest(0, "first")).code == cli::ExitCode::success);
    CHECK(readHead(store).version == 1);
}

TEST_CASE("a base that does not exist changes nothing")
{
    standin::PlatformStore store;
    CHECK(run(store, makeRequest(4, "first")).code == cli::ExitCode::badInput);
    CHECK(std::get<store::RowsReply>(*store.apply(store::TableRead{.key = headKey})).rows.empty());
}

TEST_CASE("concurrent submissions have one winner per version and get correct results")
{
    // Two operators could submit at the same time and both be told that theirs is in force, or one could silently undo the
    // other's change. Here steps of several submissions are interleaved, with lost responses and delayed requests.
    CHECK(rc::check([](const std::uint64_t seed) {
        SeededRandom random{seed};
        standin::PlatformStore store;
        struct Operator
        {
            std::optional<Submission> submission;
            std::uint64_t base{};
        };
        std::vector<Operator> operators(5);
        std::map<std::uint64_t, std::set<std::string>> acceptedAs;
        std::vector<store::Request> delayed;
        int submitted = 0;
        const store::Outcome lost = tl::unexpected{Error{ErrorCode::timedOut, "lost"}};
        std::uint64_t newest = 0;
        for (int round = 0; round < 600; ++round) {
            Operator &one = operators[random.below(operators.size())];
            if (!one.submission.has_value()) {
                one.base = newest;
                one.submission.emplace(makeRequest(newest, "submission-" + std::to_string(++submitted)));
            }
            const store::Request request = one.submission->request();
            const std::uint64_t choice = random.below(6);
            store::Outcome outcome = lost;
            if (choice > 1) {
                outcome = store.apply(request);
            } else if (choice == 1) {
                static_cast<void>(store.apply(request));
            } else {
                delayed.push_back(request);
            }
            if (!delayed.empty() && random.below(3) == 0) {
                static_cast<void>(store.apply(delayed.back()));
                delayed.pop_back();
            }
            if (one.submission->handleOutcome(outcome) == SubmissionStep::finished) {
                const SubmissionResult &result = one.submission->result();
                if (result.end == SubmissionEnd::accepted) {
                    acceptedAs[one.base + 1].insert(result.row->submission);
                }
                one.submission.reset();
            }
            const auto rows = std::get<store::RowsReply>(*store.apply(store::TableRead{.key = headKey})).rows;
            const std::uint64_t head = rows.empty() ? 0 : decodeHead(rows.front().value)->version;
            RC_ASSERT(head >= newest);
            newest = head;
        }
        for (const auto &[version, winners] : acceptedAs) {
            RC_ASSERT(winners.size() == 1U);
            const auto rows = std::get<store::RowsReply>(*store.apply(store::TableRead{.key = versionKey(version)})).rows;
            RC_ASSERT(decodeHead(rows.front().value)->submission == *winners.begin());
        }
    }));
}
