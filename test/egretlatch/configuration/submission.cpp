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

[[nodiscard]] cli::CommandResult run(standin::PlatformStore &store, const SubmissionRequest &request, std::deque<fakes::ScriptedOutcome> fates = {})
{
    SeededRandom random{1};
    fakes::FakePlatformPort port{store, std::move(fates)};
    return cli::submit(request, port, random, std::chrono::seconds{30});
}

[[nodiscard]] Head readHead(standin::PlatformStore &store)
{
    return *decodeHead(std::get<store::RowsReply>(*store.apply(store::TableRead{.key = headKey})).rows.front().value);
}

constexpr std::deque<fakes::ScriptedOutcome>::size_type requestsOfASubmission = 3;

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

TEST_CASE("a submission ends the same whichever of its answers is lost")
{
    // A pipeline submits, the platform's answer is lost, and the pipeline reports a failure of a change that is in force,
    // or submits it twice as two versions. Each of the requests of a submission loses its answer, or the request, here.
    for (const fakes::ScriptedOutcome fate : {fakes::ScriptedOutcome::answerLost, fakes::ScriptedOutcome::requestLost, fakes::ScriptedOutcome::down}) {
        for (std::size_t position = 0; position < requestsOfASubmission; ++position) {
            standin::PlatformStore store;
            std::deque<fakes::ScriptedOutcome> fates(position, fakes::ScriptedOutcome::answered);
            fates.push_back(fate);
            CHECK(run(store, makeRequest(0, "first"), fates).code == cli::ExitCode::success);
            CHECK(readHead(store).version == 1);
        }
    }
}

TEST_CASE("the same submission again is the same version, also after newer ones")
{
    standin::PlatformStore store;
    CHECK(run(store, makeRequest(0, "first")).code == cli::ExitCode::success);
    CHECK(run(store, makeRequest(1, "second")).code == cli::ExitCode::success);
    CHECK(run(store, makeRequest(0, "first")).code == cli::ExitCode::success);
    CHECK(readHead(store).version == 2);
    CHECK(readHead(store).submission == "second");
}

TEST_CASE("an id used again for another manifest is told a conflict")
{
    standin::PlatformStore store;
    CHECK(run(store, makeRequest(0, "first")).code == cli::ExitCode::success);
    SubmissionRequest other = makeRequest(0, "first");
    other.manifest = "{\"other\":1}";
    CHECK(run(store, other).code == cli::ExitCode::conflict);
}

TEST_CASE("a submission that is given up while unsure says so and can be gone on with")
{
    standin::PlatformStore store;
    std::deque<fakes::ScriptedOutcome> fates{fakes::ScriptedOutcome::answered, fakes::ScriptedOutcome::answered, fakes::ScriptedOutcome::answerLost};
    fates.insert(fates.end(), 100, fakes::ScriptedOutcome::down);
    CHECK(run(store, makeRequest(0, "first"), fates).code == cli::ExitCode::unsure);
    CHECK(run(store, makeRequest(0, "first")).code == cli::ExitCode::success);
    CHECK(readHead(store).version == 1);
}

TEST_CASE("a base that does not exist changes nothing")
{
    standin::PlatformStore store;
    CHECK(run(store, makeRequest(4, "first")).code == cli::ExitCode::badInput);
    CHECK(std::get<store::RowsReply>(*store.apply(store::TableRead{.key = headKey})).rows.empty());
}

TEST_CASE("operators who race have one winner for each version, and none is told wrong")
{
    // Two operators change the manifest at once and both are told that theirs is in force; or one's change is silently
    // undone by the other's. Steps of several submissions are interleaved here, with answers lost and requests delayed.
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
            const std::uint64_t fate = random.below(6);
            store::Outcome outcome = lost;
            if (fate > 1) {
                outcome = store.apply(request);
            } else if (fate == 1) {
                static_cast<void>(store.apply(request));
            } else {
                delayed.push_back(request);
            }
            if (!delayed.empty() && random.below(3) == 0) {
                static_cast<void>(store.apply(delayed.back()));
                delayed.pop_back();
            }
            if (one.submission->take(outcome) == SubmissionStep::finished) {
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
