#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <egretlatch/protocol/codec.hpp>

using namespace egretlatch;
using namespace egretlatch::protocol;

namespace
{

[[nodiscard]] CallRequest someRequest()
{
    SeededRandom random{3};
    CallRequest request;
    request.call = {7};
    request.root = UuidGenerator{random}.generate(WallTime{std::chrono::milliseconds{1'790'000'000'000}});
    request.service = "launch-log";
    request.kind = "launch-entry";
    request.method = "POST";
    request.path = "/entries?club=4";
    request.headers = {{.name = "Accept", .value = "text/plain"}, {.name = "X", .value = std::string{"\xff\x00z", 3}}};
    request.body = QByteArray{"\x00\x01 body", 7};
    request.key = "key";
    request.account = "club";
    request.remaining = std::chrono::milliseconds{750};
    request.trace = account::startTrace(random);
    request.rank = {.priority = 9, .worth = 12.5, .invested = std::chrono::microseconds{3}};
    request.attemptsLent = 2;
    request.depth = 3;
    request.isRepeat = true;
    return request;
}

[[nodiscard]] CallAnswer someAnswer()
{
    SeededRandom random{4};
    CallAnswer answer;
    answer.call = {8};
    answer.receiver = {9};
    answer.verdict = Verdict::notRun;
    answer.status = 429;
    answer.headers = {{.name = "Retry-After", .value = "1"}};
    answer.body = "body";
    account::Refusal refusal;
    refusal.id = UuidGenerator{random}.generate(WallTime{});
    refusal.reason = account::RefusalReason::overloadInQueue;
    refusal.rule = "the queue is full";
    refusal.figures = {{.name = "queued", .value = 12}};
    refusal.retryAfter = std::chrono::milliseconds{1500};
    refusal.configurationVersion = 4;
    answer.refusal = refusal;
    answer.load = {
        .inFlight = 3, .limit = 4, .queued = 5, .level = {.priority = 2, .fraction = 0.25}, .queueDelay = std::chrono::milliseconds{6}, .draining = true};
    answer.attemptsReturned = 1;
    answer.slotTime = std::chrono::milliseconds{15};
    answer.performance = admission::KindPerformance{.kind = "launch-entry", .ownTime = std::chrono::milliseconds{21}, .failureShare = 0.5};
    return answer;
}

[[nodiscard]] Gossip someGossip()
{
    membership::Member member;
    member.id = {"launch-log-1"};
    member.incarnation = {5};
    member.revision = 6;
    member.state = membership::MemberState::draining;
    member.endpoint = "tcp://127.0.0.1:1";
    member.region = "region";
    member.dataCentre = "dc1";
    member.service = "launch-log";
    member.slots = 35;
    member.connections = 300;
    member.beat = 9;
    Gossip gossip;
    gossip.purpose = membership::GossipPurpose::pullReply;
    gossip.sequence = 12;
    gossip.receiver = {13};
    gossip.subject = {.id = {"duty-roster-2"}, .endpoint = "tcp://127.0.0.1:2"};
    gossip.digest = 14;
    gossip.page = 15;
    gossip.hasMore = true;
    gossip.members = {member};
    gossip.suspicions = {{.id = {"flight-history-1"}, .incarnation = {16}, .revision = 17}};
    for (const membership::RumourKind kind : {membership::RumourKind::configuration, membership::RumourKind::departure, membership::RumourKind::quarantine}) {
        gossip.rumours.push_back({.key = {.kind = kind, .key = "key"}, .version = 18, .payload = "payload", .remaining = std::chrono::seconds{19}});
    }
    gossip.performance = {{.kind = "launch-entry", .ownTime = std::chrono::milliseconds{20}, .failureShare = 0.25}};
    return gossip;
}

[[nodiscard]] configuration::Advert someAdvert()
{
    return {.version = 3,
            .hash = "h",
            .endpoint = "tcp://127.0.0.1:3",
            .confirmedAge = std::chrono::milliseconds{4},
            .provenAt = store::StoreTime{std::chrono::milliseconds{51230}}};
}

[[nodiscard]] quota::UseReport someReport()
{
    return {.sequence = 4, .uses = {{.account = "club", .used = -2, .asked = 7, .returned = 1}, {.account = "school", .used = 3, .asked = 3, .returned = 0}}};
}

[[nodiscard]] quota::GrantReply someGrants()
{
    return {.sequence = 4,
            .grants = {{.account = "club", .credit = 3, .allowance = 0, .isShort = true, .roomIn = std::chrono::milliseconds{150}},
                       {.account = "school", .credit = 0, .allowance = 40, .isShort = false, .roomIn = {}}}};
}

[[nodiscard]] std::vector<Envelope> allMessages()
{
    std::vector<Envelope> messages;
    const std::vector<Message> bodies{someRequest(), someAnswer(), CallCancel{.call = {3}}, someGossip(), someAdvert(), someReport(), someGrants()};
    messages.reserve(bodies.size());
    for (const Message &body : bodies) {
        messages.push_back({.sender = {"duty-roster-0"}, .incarnation = {11}, .message = body});
    }
    return messages;
}

} // namespace

TEST_CASE("each message is unchanged after encoding and decoding")
{
    for (const Envelope &envelope : allMessages()) {
        const Result<Envelope> decoded = decode(encode(envelope));
        REQUIRE(decoded.has_value());
        CHECK(*decoded == envelope);
    }
}

TEST_CASE("a message with a long body is unchanged after encoding and decoding, in one piece and in two")
{
    for (const qsizetype size : {longBodyBytes - 1, longBodyBytes, 40 * longBodyBytes}) {
        CallRequest request = someRequest();
        request.body = QByteArray(size, 'r');
        CallAnswer answer = someAnswer();
        answer.body = QByteArray(size, 'a');
        for (const Message &message : {Message{request}, Message{answer}}) {
            const Envelope envelope{.sender = {"daemon"}, .incarnation = {5}, .message = message};
            const std::string whole = encode(envelope);
            const MessageBytes split = encodeSplit(envelope);
            CHECK(split.joined().toStdString() == whole);
            CHECK(split.body.isEmpty() == (size < longBodyBytes));
            CHECK(decode(whole) == envelope);
            CHECK(decodeShared(QByteArray::fromStdString(whole)) == envelope);
        }
    }
}

TEST_CASE("a long body takes no memory of its own when it is decoded")
{
    CallAnswer answer = someAnswer();
    answer.body = QByteArray(longBodyBytes, 'a');
    QByteArray bytes = encodeSplit({.sender = {"daemon"}, .incarnation = {5}, .message = answer}).joined();
    const char *const begin = bytes.constData();
    const char *const end = begin + bytes.size();
    const Result<Envelope> decoded = decodeShared(std::move(bytes));
    REQUIRE(decoded.has_value());
    const char *const body = std::get<CallAnswer>(decoded->message).body.constData();
    CHECK(body > begin);
    CHECK(body < end);
}

TEST_CASE("a message with a long body that is cut or changed is decoded as a whole or not at all")
{
    CHECK(rc::check("any cut and any changed byte of the part before the body", [] {
        CallRequest request = someRequest();
        request.body = QByteArray(longBodyBytes, 'r');
        const Envelope envelope{.sender = {"daemon"}, .incarnation = {5}, .message = request};
        const MessageBytes split = encodeSplit(envelope);
        QByteArray bytes = split.joined();
        const auto position = *rc::gen::inRange<qsizetype>(0, split.head.size());
        bytes[position] = static_cast<char>(*rc::gen::arbitrary<std::uint8_t>());
        bytes.truncate(bytes.size() - *rc::gen::inRange<qsizetype>(0, 3));
        const Result<Envelope> shared = decodeShared(bytes);
        const Result<Envelope> copied = decode(std::string_view{bytes.constData(), static_cast<std::size_t>(bytes.size())});
        RC_ASSERT(shared.has_value() == copied.has_value());
        RC_ASSERT(!shared.has_value() || *shared == *copied);
    }));
}

TEST_CASE("bytes that are not an envelope are malformed")
{
    CHECK(decode("").error().code == ErrorCode::wrongVersion);
    CHECK(decode("\x01\x02").error().code == ErrorCode::malformed);
}

TEST_CASE("another protocol version is distinguished from malformed bytes")
{
    std::string bytes = encode(allMessages().front());
    REQUIRE(bytes[0] == '\x08');
    bytes[1] = 2;
    CHECK(decode(bytes).error().code == ErrorCode::wrongVersion);
}

TEST_CASE("arbitrary bytes are decoded or rejected without a crash")
{
    CHECK(rc::check([](const std::string &bytes) {
        static_cast<void>(decode(bytes));
    }));
}

TEST_CASE("a damaged message is decoded or rejected without a crash")
{
    CHECK(rc::check([] {
        const std::vector<Envelope> messages = allMessages();
        std::string bytes = encode(messages[*rc::gen::inRange<std::size_t>(0, messages.size())]);
        const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[position] = *rc::gen::arbitrary<char>();
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
        static_cast<void>(decode(bytes));
    }));
}
