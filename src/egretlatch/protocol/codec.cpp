#include <egretlatch/protocol/codec.hpp>

#include <cmath>
#include <optional>

#include <fmt/format.h>

#include <google/protobuf/stubs/logging.h>

#include <wire.pb.h>

namespace egretlatch::protocol
{

namespace internal
{

// The library prints a line on standard error for each malformed message, so a stranger could fill the log.
static google::protobuf::LogHandler *const previousLogHandler = google::protobuf::SetLogHandler(nullptr);

[[nodiscard]] static Duration toDuration(const std::int64_t nanoseconds)
{
    return Duration{nanoseconds};
}

[[nodiscard]] static std::string toBytes(const QByteArray &body)
{
    return {body.constData(), static_cast<std::size_t>(body.size())};
}

[[nodiscard]] static QByteArray toBody(const std::string &bytes)
{
    return {bytes.data(), static_cast<qsizetype>(bytes.size())};
}

template<typename Wire>
static void writeHeaders(const Headers &headers, Wire &wire)
{
    for (const Header &header : headers) {
        auto *const added = wire.add_headers();
        added->set_name(header.name);
        added->set_value(header.value);
    }
}

template<typename Wire>
[[nodiscard]] static Headers readHeaders(const Wire &wire)
{
    Headers headers;
    headers.reserve(static_cast<std::size_t>(wire.headers_size()));
    for (const auto &header : wire.headers()) {
        headers.push_back({.name = header.name(), .value = header.value()});
    }
    return headers;
}

static void write(const CallRequest &request, wire::CallRequest &wire)
{
    wire.set_call(request.call.value);
    wire.set_root(request.root.toBytes());
    wire.set_service(request.service);
    wire.set_kind(request.kind);
    wire.set_method(request.method);
    wire.set_path(request.path);
    writeHeaders(request.headers, wire);
    wire.set_body(toBytes(request.body));
    wire.set_key(request.key);
    wire.set_request_name(request.requestName);
    wire.set_remaining_ns(request.remaining.count());
    if (!request.trace.traceId.empty()) {
        wire.mutable_trace()->set_trace_id(request.trace.traceId);
        wire.mutable_trace()->set_span_id(request.trace.spanId);
        wire.mutable_trace()->set_sampled(request.trace.sampled);
    }
    wire.mutable_rank()->set_priority(request.rank.priority);
    wire.mutable_rank()->set_worth(request.rank.worth);
    wire.mutable_rank()->set_invested_ns(request.rank.invested.count());
    for (const admission::RootCosts::Stop &stop : request.rootCosts.stops()) {
        wire::RootCost &added = *wire.add_root_costs();
        added.set_service_hash(stop.service);
        added.set_held_us(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::microseconds>(stop.held).count()));
    }
    wire.set_attempts_lent(request.attemptsLent);
    wire.set_depth(request.depth);
    wire.set_is_repeat(request.isRepeat);
    wire.set_receiver_incarnation(request.receiver.value);
    wire.set_scope(request.scope);
    wire.set_for_owner(request.forOwner);
}

[[nodiscard]] static admission::RootCosts readRootCosts(const wire::CallRequest &wire)
{
    std::vector<admission::RootCosts::Stop> stops;
    stops.reserve(static_cast<std::size_t>(wire.root_costs_size()));
    for (const wire::RootCost &cost : wire.root_costs()) {
        stops.push_back({.service = cost.service_hash(), .held = std::chrono::microseconds{cost.held_us()}});
    }
    return admission::RootCosts{std::move(stops)};
}

[[nodiscard]] static Result<Message> read(const wire::CallRequest &wire)
{
    const auto root = Uuid::fromBytes(wire.root());
    if (!root.has_value()) {
        return tl::unexpected{Error{ErrorCode::malformed, "a call without a root"}};
    }
    if (wire.attempts_lent() < 0 || wire.depth() < 0 || !std::isfinite(wire.rank().worth())) {
        return tl::unexpected{Error{ErrorCode::malformed, "a call with a number out of range"}};
    }
    CallRequest request;
    request.call = {wire.call()};
    request.root = *root;
    request.service = wire.service();
    request.kind = wire.kind();
    request.method = wire.method();
    request.path = wire.path();
    request.headers = readHeaders(wire);
    request.body = toBody(wire.body());
    request.key = wire.key();
    request.requestName = wire.request_name();
    request.remaining = toDuration(wire.remaining_ns());
    request.trace = {.traceId = wire.trace().trace_id(), .spanId = wire.trace().span_id(), .sampled = wire.trace().sampled()};
    request.rank = {.priority = wire.rank().priority(), .worth = wire.rank().worth(), .invested = toDuration(wire.rank().invested_ns())};
    request.rootCosts = readRootCosts(wire);
    request.attemptsLent = wire.attempts_lent();
    request.depth = wire.depth();
    request.isRepeat = wire.is_repeat();
    request.receiver = {wire.receiver_incarnation()};
    request.scope = wire.scope();
    request.forOwner = wire.for_owner();
    return request;
}

static void write(const account::Refusal &refusal, wire::Refusal &wire)
{
    wire.set_id(refusal.id.toBytes());
    wire.set_reason(std::string{account::toString(refusal.reason)});
    wire.set_rule(refusal.rule);
    for (const account::Figure &figure : refusal.figures) {
        auto *const added = wire.add_figures();
        added->set_name(figure.name);
        added->set_value(figure.value);
    }
    wire.set_retry_after_ms(refusal.retryAfter.count());
    wire.set_configuration_version(refusal.configurationVersion);
}

[[nodiscard]] static Result<account::Refusal> read(const wire::Refusal &wire)
{
    const auto id = Uuid::fromBytes(wire.id());
    const auto reason = account::refusalReasonFromString(wire.reason());
    if (!id.has_value() || !reason.has_value()) {
        return tl::unexpected{Error{ErrorCode::malformed, "a refusal without an id or a known reason"}};
    }
    account::Refusal refusal;
    refusal.id = *id;
    refusal.reason = *reason;
    refusal.rule = wire.rule();
    for (const auto &figure : wire.figures()) {
        refusal.figures.push_back({.name = figure.name(), .value = figure.value()});
    }
    refusal.retryAfter = std::chrono::milliseconds{wire.retry_after_ms()};
    refusal.configurationVersion = wire.configuration_version();
    return refusal;
}

static void write(const admission::Level &level, wire::Level &wire)
{
    wire.set_priority(level.priority);
    wire.set_density(level.density);
    wire.set_fraction(level.fraction);
}

[[nodiscard]] static admission::Level read(const wire::Level &wire)
{
    return {.priority = wire.priority(), .density = wire.density(), .fraction = wire.fraction()};
}

static void write(const admission::LoadReport &load, wire::Load &wire)
{
    wire.set_in_flight(load.inFlight);
    wire.set_limit(load.limit);
    wire.set_queued(load.queued);
    write(load.level, *wire.mutable_level());
    wire.set_queue_delay_ns(load.queueDelay.count());
    wire.set_draining(load.draining);
}

[[nodiscard]] static admission::LoadReport read(const wire::Load &wire)
{
    return {
        .inFlight = wire.in_flight(),
        .limit = wire.limit(),
        .queued = wire.queued(),
        .level = read(wire.level()),
        .queueDelay = toDuration(wire.queue_delay_ns()),
        .draining = wire.draining(),
    };
}

[[nodiscard]] static wire::Verdict toWire(const Verdict verdict)
{
    switch (verdict) {
    case Verdict::completed:
        return wire::VERDICT_COMPLETED;
    case Verdict::notRun:
        return wire::VERDICT_NOT_RUN;
    case Verdict::mayHaveRun:
        break;
    }
    return wire::VERDICT_MAY_HAVE_RUN;
}

// A verdict that this version does not know is read as the one that promises nothing.
[[nodiscard]] static Verdict fromWire(const wire::Verdict verdict)
{
    if (verdict == wire::VERDICT_COMPLETED) {
        return Verdict::completed;
    }
    return verdict == wire::VERDICT_NOT_RUN ? Verdict::notRun : Verdict::mayHaveRun;
}

static void write(const admission::KindPace &pace, wire::Pace &wire)
{
    wire.set_kind(pace.kind);
    wire.set_own_ns(pace.own.count());
    wire.set_failing(pace.failing);
}

[[nodiscard]] static admission::KindPace read(const wire::Pace &wire)
{
    // What lies outside the bounds, or is no number, is taken as the nearest bound.
    const double failing = wire.failing() > 0.0 ? std::min(wire.failing(), 1.0) : 0.0;
    return {.kind = wire.kind(), .own = std::max(Duration{wire.own_ns()}, Duration{}), .failing = failing};
}

static void write(const CallAnswer &answer, wire::CallAnswer &wire)
{
    wire.set_call(answer.call.value);
    wire.set_receiver_incarnation(answer.receiver.value);
    wire.set_verdict(toWire(answer.verdict));
    wire.set_status(answer.status);
    writeHeaders(answer.headers, wire);
    wire.set_body(toBytes(answer.body));
    if (answer.refusal.has_value()) {
        write(*answer.refusal, *wire.mutable_refusal());
    }
    write(answer.load, *wire.mutable_load());
    wire.set_attempts_returned(answer.attemptsReturned);
    wire.set_slot_time_ns(answer.slotTime.count());
    wire.set_next_key(answer.nextKey);
    wire.set_has_reached_server(answer.hasReachedServer);
    wire.set_has_failed_below(answer.hasFailedBelow);
    if (answer.pace.has_value()) {
        write(*answer.pace, *wire.mutable_pace());
    }
    for (const auto &[service, slotTime] : answer.chain) {
        wire::ChainStop &added = *wire.add_chain();
        added.set_service(service);
        added.set_slot_time_ns(slotTime.count());
    }
    for (const ServiceLevel &level : answer.levels) {
        wire::ServiceLevel &added = *wire.add_levels();
        added.set_service(level.service);
        write(level.level, *added.mutable_level());
        added.set_age_ns(level.age.count());
    }
}

[[nodiscard]] static Result<Message> read(const wire::CallAnswer &wire)
{
    CallAnswer answer;
    answer.call = {wire.call()};
    answer.receiver = {wire.receiver_incarnation()};
    answer.verdict = fromWire(wire.verdict());
    answer.status = wire.status();
    answer.headers = readHeaders(wire);
    answer.body = toBody(wire.body());
    if (wire.has_refusal()) {
        Result<account::Refusal> refusal = read(wire.refusal());
        if (!refusal.has_value()) {
            return tl::unexpected{refusal.error()};
        }
        answer.refusal = std::move(*refusal);
    }
    answer.load = read(wire.load());
    answer.attemptsReturned = wire.attempts_returned();
    answer.slotTime = toDuration(wire.slot_time_ns());
    answer.nextKey = wire.next_key();
    answer.hasReachedServer = wire.has_reached_server();
    answer.hasFailedBelow = wire.has_failed_below();
    if (wire.has_pace()) {
        answer.pace = read(wire.pace());
    }
    for (const wire::ChainStop &stop : wire.chain()) {
        answer.chain[stop.service()] = toDuration(stop.slot_time_ns());
    }
    for (const wire::ServiceLevel &level : wire.levels()) {
        answer.levels.push_back({.service = level.service(), .level = read(level.level()), .age = toDuration(level.age_ns())});
    }
    return answer;
}

static void write(const membership::Member &member, wire::Member &wire)
{
    wire.set_id(member.id.value);
    wire.set_incarnation(member.incarnation.value);
    wire.set_revision(member.revision);
    wire.set_state(static_cast<wire::MemberState>(member.state));
    wire.set_endpoint(member.endpoint);
    wire.set_region(member.region);
    wire.set_data_centre(member.dataCentre);
    wire.set_service(member.service);
    wire.set_slots(member.slots);
    wire.set_connections(member.connections);
    wire.set_beat(member.beat);
}

[[nodiscard]] static Result<membership::Member> read(const wire::Member &wire)
{
    if (wire.id().empty() || !wire::MemberState_IsValid(wire.state())) {
        return tl::unexpected{Error{ErrorCode::malformed, "a member without an id or with an unknown state"}};
    }
    return membership::Member{
        .id = {wire.id()},
        .incarnation = {wire.incarnation()},
        .revision = wire.revision(),
        .beat = wire.beat(),
        .state = static_cast<membership::MemberState>(wire.state()),
        .endpoint = wire.endpoint(),
        .region = wire.region(),
        .dataCentre = wire.data_centre(),
        .service = wire.service(),
        .slots = wire.slots(),
        .connections = wire.connections(),
    };
}

static void write(const membership::Rumour &rumour, wire::Rumour &wire)
{
    wire.set_kind(rumour.key.kind == membership::RumourKind::quarantine ? wire::RUMOUR_KIND_QUARANTINE : wire::RUMOUR_KIND_CONFIGURATION);
    wire.set_key(rumour.key.key);
    wire.set_version(rumour.version);
    wire.set_payload(rumour.payload);
    wire.set_remaining_ns(rumour.remaining.count());
}

// Nothing for a kind of rumour that this version does not know, so that a later version may add kinds.
[[nodiscard]] static std::optional<membership::Rumour> read(const wire::Rumour &wire)
{
    if (wire.kind() != wire::RUMOUR_KIND_CONFIGURATION && wire.kind() != wire::RUMOUR_KIND_QUARANTINE) {
        return std::nullopt;
    }
    const bool isQuarantine = wire.kind() == wire::RUMOUR_KIND_QUARANTINE;
    return membership::Rumour{
        .key = {.kind = isQuarantine ? membership::RumourKind::quarantine : membership::RumourKind::configuration, .key = wire.key()},
        .version = wire.version(),
        .payload = wire.payload(),
        .remaining = toDuration(wire.remaining_ns()),
    };
}

static void write(const Gossip &gossip, wire::Gossip &wire)
{
    wire.set_purpose(static_cast<wire::GossipPurpose>(gossip.purpose));
    wire.set_sequence(gossip.sequence);
    wire.set_receiver_incarnation(gossip.receiver.value);
    wire.set_subject_id(gossip.subject.id.value);
    wire.set_subject_endpoint(gossip.subject.endpoint);
    wire.set_digest(gossip.digest);
    wire.set_page(gossip.page);
    wire.set_has_more(gossip.hasMore);
    for (const membership::Member &member : gossip.members) {
        write(member, *wire.add_members());
    }
    for (const membership::Suspicion &suspicion : gossip.suspicions) {
        auto *const added = wire.add_suspicions();
        added->set_id(suspicion.id.value);
        added->set_incarnation(suspicion.incarnation.value);
        added->set_revision(suspicion.revision);
    }
    for (const membership::Rumour &rumour : gossip.rumours) {
        write(rumour, *wire.add_rumours());
    }
    for (const admission::KindPace &pace : gossip.paces) {
        write(pace, *wire.add_paces());
    }
}

[[nodiscard]] static Result<Message> read(const wire::Gossip &wire)
{
    if (!wire::GossipPurpose_IsValid(wire.purpose())) {
        return tl::unexpected{Error{ErrorCode::malformed, "gossip with an unknown purpose"}};
    }
    Gossip gossip;
    gossip.purpose = static_cast<membership::GossipPurpose>(wire.purpose());
    gossip.sequence = wire.sequence();
    gossip.receiver = {wire.receiver_incarnation()};
    gossip.subject = {.id = {wire.subject_id()}, .endpoint = wire.subject_endpoint()};
    gossip.digest = wire.digest();
    gossip.page = wire.page();
    gossip.hasMore = wire.has_more();
    for (const auto &member : wire.members()) {
        Result<membership::Member> read = internal::read(member);
        if (!read.has_value()) {
            return tl::unexpected{read.error()};
        }
        gossip.members.push_back(std::move(*read));
    }
    for (const auto &suspicion : wire.suspicions()) {
        gossip.suspicions.push_back({.id = {suspicion.id()}, .incarnation = {suspicion.incarnation()}, .revision = suspicion.revision()});
    }
    for (const auto &rumour : wire.rumours()) {
        if (std::optional<membership::Rumour> read = internal::read(rumour)) {
            gossip.rumours.push_back(std::move(*read));
        }
    }
    for (const auto &pace : wire.paces()) {
        gossip.paces.push_back(read(pace));
    }
    return gossip;
}

static void write(const configuration::Advert &advert, wire::ConfigurationAdvert &wire)
{
    wire.set_version(advert.version);
    wire.set_hash(advert.hash);
    wire.set_endpoint(advert.endpoint);
}

static void write(const configuration::BodyRequest &request, wire::ConfigurationBodyRequest &wire)
{
    wire.set_hash(request.hash);
    wire.set_endpoint(request.endpoint);
}

static void write(const configuration::BodyReply &reply, wire::ConfigurationBodyReply &wire)
{
    wire.set_hash(reply.hash);
    wire.set_manifest(toBytes(reply.manifest));
}

struct MessageWriter
{
    wire::Envelope &wire;

    void operator()(const CallRequest &request) const
    {
        write(request, *wire.mutable_request());
    }

    void operator()(const CallAnswer &answer) const
    {
        write(answer, *wire.mutable_answer());
    }

    void operator()(const CallCancel &cancel) const
    {
        wire.mutable_cancel()->set_call(cancel.call.value);
    }

    void operator()(const Gossip &gossip) const
    {
        write(gossip, *wire.mutable_gossip());
    }

    void operator()(const configuration::Advert &advert) const
    {
        write(advert, *wire.mutable_configuration_advert());
    }

    void operator()(const configuration::BodyRequest &request) const
    {
        write(request, *wire.mutable_configuration_body_request());
    }

    void operator()(const configuration::BodyReply &reply) const
    {
        write(reply, *wire.mutable_configuration_body_reply());
    }
};

[[nodiscard]] static Result<Message> readBody(const wire::Envelope &wire)
{
    switch (wire.body_case()) {
    case wire::Envelope::kRequest:
        return read(wire.request());
    case wire::Envelope::kAnswer:
        return read(wire.answer());
    case wire::Envelope::kCancel:
        return CallCancel{.call = {wire.cancel().call()}};
    case wire::Envelope::kGossip:
        return read(wire.gossip());
    case wire::Envelope::kConfigurationAdvert: {
        const wire::ConfigurationAdvert &advert = wire.configuration_advert();
        return configuration::Advert{.version = advert.version(), .hash = advert.hash(), .endpoint = advert.endpoint()};
    }
    case wire::Envelope::kConfigurationBodyRequest: {
        const wire::ConfigurationBodyRequest &request = wire.configuration_body_request();
        return configuration::BodyRequest{.hash = request.hash(), .endpoint = request.endpoint()};
    }
    case wire::Envelope::kConfigurationBodyReply: {
        const wire::ConfigurationBodyReply &reply = wire.configuration_body_reply();
        return configuration::BodyReply{.hash = reply.hash(), .manifest = toBody(reply.manifest())};
    }
    case wire::Envelope::BODY_NOT_SET:
        break;
    }
    return tl::unexpected{Error{ErrorCode::malformed, "an envelope without a message"}};
}

} // namespace internal

std::string encode(const Envelope &envelope)
{
    wire::Envelope wire;
    wire.set_protocol_version(protocolVersion);
    wire.set_sender(envelope.sender.value);
    wire.set_sender_incarnation(envelope.incarnation.value);
    std::visit(internal::MessageWriter{wire}, envelope.message);
    return wire.SerializeAsString();
}

Result<Envelope> decode(const std::string_view bytes)
{
    wire::Envelope wire;
    if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return tl::unexpected{Error{ErrorCode::malformed, "bytes that are not an envelope"}};
    }
    if (wire.protocol_version() != protocolVersion) {
        return tl::unexpected{Error{ErrorCode::wrongVersion, fmt::format("protocol version {}, not {}", wire.protocol_version(), protocolVersion)}};
    }
    if (wire.sender().empty()) {
        return tl::unexpected{Error{ErrorCode::malformed, "an envelope without a sender"}};
    }
    Result<Message> message = internal::readBody(wire);
    if (!message.has_value()) {
        return tl::unexpected{message.error()};
    }
    return Envelope{.sender = {wire.sender()}, .incarnation = {wire.sender_incarnation()}, .message = std::move(*message)};
}

} // namespace egretlatch::protocol
