// Conversion of calls and their answers between C++ and protobuf messages.

#include <egretlatch/protocol/codec_parts.hpp>

#include <cmath>

#include <fmt/format.h>

#include <egretlatch/core/message_bytes.hpp>

namespace egretlatch::protocol::internal
{

void write(const CallRequest &request, wire::CallRequest &wire)
{
    wire.set_call(request.call.value);
    wire.set_root(request.root.toBytes());
    wire.set_service(request.service);
    wire.set_kind(request.kind);
    wire.set_method(request.method);
    wire.set_path(request.path);
    writeHeaders(request.headers, wire);
    if (!isLongBody(request.body)) {
        wire.set_body(toBytes(request.body));
    }
    wire.set_key(request.key);
    wire.set_account(request.account);
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
    for (const admission::RootCosts::ServiceCost &stop : request.rootCosts.costs()) {
        wire::RootCost &added = *wire.add_root_costs();
        added.set_service_hash(stop.service);
        added.set_held_us(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::microseconds>(stop.held).count()));
    }
    wire.set_attempts_lent(request.attemptsLent);
    wire.set_depth(request.depth);
    wire.set_is_repeat(request.isRepeat);
    wire.set_wants_chain(request.wantsChain);
    wire.set_receiver_incarnation(request.receiver.value);
    wire.set_scope(request.scope);
    wire.set_for_owner(request.forOwner);
}

[[nodiscard]] static admission::RootCosts readRootCosts(const wire::CallRequest &wire)
{
    std::vector<admission::RootCosts::ServiceCost> costs;
    costs.reserve(static_cast<std::size_t>(wire.root_costs_size()));
    for (const wire::RootCost &cost : wire.root_costs()) {
        costs.push_back({.service = cost.service_hash(), .held = std::chrono::microseconds{cost.held_us()}});
    }
    return admission::RootCosts{std::move(costs)};
}

Result<Message> read(const wire::CallRequest &wire)
{
    const auto root = Uuid::fromBytes(wire.root());
    if (!root.has_value()) {
        return tl::unexpected{Error{ErrorCode::malformed, "call request without a valid root id"}};
    }
    if (wire.attempts_lent() < 0 || wire.depth() < 0 || !std::isfinite(wire.rank().worth())) {
        return tl::unexpected{Error{ErrorCode::malformed, "call request with a negative attempts_lent or depth, or with a worth that is not finite"}};
    }
    CallRequest request;
    request.call = {wire.call()};
    request.root = *root;
    request.service = wire.service();
    request.kind = wire.kind();
    request.method = wire.method();
    request.path = wire.path();
    request.headers = readHeaders(wire);
    request.body = toByteArray(wire.body());
    request.key = wire.key();
    request.account = wire.account();
    request.requestName = wire.request_name();
    request.remaining = toDuration(wire.remaining_ns());
    request.trace = {.traceId = wire.trace().trace_id(), .spanId = wire.trace().span_id(), .sampled = wire.trace().sampled()};
    request.rank = {.priority = wire.rank().priority(), .worth = wire.rank().worth(), .invested = toDuration(wire.rank().invested_ns())};
    request.rootCosts = readRootCosts(wire);
    request.attemptsLent = wire.attempts_lent();
    request.depth = wire.depth();
    request.isRepeat = wire.is_repeat();
    request.wantsChain = wire.wants_chain();
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
        return tl::unexpected{Error{ErrorCode::malformed, "refusal without a valid id or with an unknown reason"}};
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

// Reads an unknown verdict as the weakest one, may-have-run, which guarantees nothing.
[[nodiscard]] static Verdict fromWire(const wire::Verdict verdict)
{
    if (verdict == wire::VERDICT_COMPLETED) {
        return Verdict::completed;
    }
    return verdict == wire::VERDICT_NOT_RUN ? Verdict::notRun : Verdict::mayHaveRun;
}

void write(const admission::KindPerformance &performance, wire::Pace &wire)
{
    wire.set_kind(performance.kind);
    wire.set_own_ns(performance.ownTime.count());
    wire.set_failing(performance.failureShare);
}

admission::KindPerformance read(const wire::Pace &wire)
{
    // Clamps values to their bounds; a NaN becomes the lower bound.
    const double failureShare = wire.failing() > 0.0 ? std::min(wire.failing(), 1.0) : 0.0;
    return {.kind = wire.kind(), .ownTime = std::max(Duration{wire.own_ns()}, Duration{}), .failureShare = failureShare};
}

void write(const CallAnswer &answer, wire::CallAnswer &wire)
{
    wire.set_call(answer.call.value);
    wire.set_receiver_incarnation(answer.receiver.value);
    wire.set_verdict(toWire(answer.verdict));
    wire.set_status(answer.status);
    writeHeaders(answer.headers, wire);
    if (!isLongBody(answer.body)) {
        wire.set_body(toBytes(answer.body));
    }
    if (answer.refusal.has_value()) {
        write(*answer.refusal, *wire.mutable_refusal());
    }
    write(answer.load, *wire.mutable_load());
    wire.set_attempts_returned(answer.attemptsReturned);
    wire.set_slot_time_ns(answer.slotTime.count());
    wire.set_next_key(answer.nextKey);
    wire.set_has_reached_server(answer.hasReachedServer);
    wire.set_has_failed_below(answer.hasFailedBelow);
    if (answer.performance.has_value()) {
        write(*answer.performance, *wire.mutable_pace());
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

Result<Message> read(const wire::CallAnswer &wire)
{
    CallAnswer answer;
    answer.call = {wire.call()};
    answer.receiver = {wire.receiver_incarnation()};
    answer.verdict = fromWire(wire.verdict());
    answer.status = wire.status();
    answer.headers = readHeaders(wire);
    answer.body = toByteArray(wire.body());
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
        answer.performance = read(wire.pace());
    }
    for (const wire::ChainStop &stop : wire.chain()) {
        answer.chain[stop.service()] = toDuration(stop.slot_time_ns());
    }
    for (const wire::ServiceLevel &level : wire.levels()) {
        answer.levels.push_back({.service = level.service(), .level = read(level.level()), .age = toDuration(level.age_ns())});
    }
    return answer;
}

} // namespace egretlatch::protocol::internal
