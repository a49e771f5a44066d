#include <egretlatch/protocol/codec.hpp>

#include <algorithm>

#include <fmt/format.h>

#include <google/protobuf/stubs/logging.h>

#include <egretlatch/protocol/codec_parts.hpp>
#include <egretlatch/protocol/long_body.hpp>

namespace egretlatch::protocol
{

namespace internal
{

// Silences protobuf, which prints a line on standard error for each malformed message: any process that can connect could
// fill the log.
static google::protobuf::LogHandler *const previousLogHandler = google::protobuf::SetLogHandler(nullptr);

static void write(const configuration::Advert &advert, wire::ConfigurationAdvert &wire)
{
    wire.set_version(advert.version);
    wire.set_hash(advert.hash);
    wire.set_endpoint(advert.endpoint);
    if (advert.confirmedAge.has_value()) {
        wire.set_confirmed_age_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(advert.confirmedAge->count(), 0)));
    }
    if (advert.provenAt.has_value()) {
        wire.set_proven_at_ms(advert.provenAt->time_since_epoch().count());
    }
}

[[nodiscard]] static configuration::Advert read(const wire::ConfigurationAdvert &wire)
{
    configuration::Advert advert{.version = wire.version(), .hash = wire.hash(), .endpoint = wire.endpoint()};
    if (wire.has_confirmed_age_ms()) {
        // Bounded, so that no age reaches back beyond the beginning of the clock.
        constexpr std::uint64_t maxAgeMs = 3'600'000;
        advert.confirmedAge = std::chrono::milliseconds{static_cast<std::int64_t>(std::min(wire.confirmed_age_ms(), maxAgeMs))};
    }
    if (wire.has_proven_at_ms()) {
        // Bounded, so that it can be converted to nanoseconds.
        constexpr std::int64_t maxClockMs = 9'000'000'000'000;
        advert.provenAt = store::StoreTime{std::chrono::milliseconds{std::clamp<std::int64_t>(wire.proven_at_ms(), 0, maxClockMs)}};
    }
    return advert;
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

    void operator()(const quota::UseReport &report) const
    {
        write(report, *wire.mutable_quota_report());
    }

    void operator()(const quota::GrantReply &reply) const
    {
        write(reply, *wire.mutable_quota_reply());
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
    case wire::Envelope::kConfigurationAdvert:
        return read(wire.configuration_advert());
    case wire::Envelope::kConfigurationBodyRequest: {
        const wire::ConfigurationBodyRequest &request = wire.configuration_body_request();
        return configuration::BodyRequest{.hash = request.hash(), .endpoint = request.endpoint()};
    }
    case wire::Envelope::kConfigurationBodyReply: {
        const wire::ConfigurationBodyReply &reply = wire.configuration_body_reply();
        return configuration::BodyReply{.hash = reply.hash(), .manifest = toByteArray(reply.manifest())};
    }
    case wire::Envelope::kQuotaReport:
        return read(wire.quota_report());
    case wire::Envelope::kQuotaReply:
        return read(wire.quota_reply());
    case wire::Envelope::BODY_NOT_SET:
        break;
    }
    return tl::unexpected{Error{ErrorCode::malformed, "envelope without a known message"}};
}

/*! @brief Encodes all of a message but its long body, which has to follow. */
[[nodiscard]] static std::string encodeHead(const Envelope &envelope)
{
    wire::Envelope wire;
    wire.set_protocol_version(protocolVersion);
    wire.set_sender(envelope.sender.value);
    wire.set_sender_incarnation(envelope.incarnation.value);
    std::visit(MessageWriter{wire}, envelope.message);
    std::string bytes = wire.SerializeAsString();
    if (const QByteArray *const body = longBodyOf(envelope.message)) {
        appendLongBodyPrefix(envelope.message, *body, bytes);
    }
    return bytes;
}

[[nodiscard]] static QByteArray *bodyOf(Message &message)
{
    if (auto *const request = std::get_if<CallRequest>(&message)) {
        return &request->body;
    }
    auto *const answer = std::get_if<CallAnswer>(&message);
    return answer == nullptr ? nullptr : &answer->body;
}

} // namespace internal

std::string encode(const Envelope &envelope)
{
    std::string bytes = internal::encodeHead(envelope);
    if (const QByteArray *const body = internal::longBodyOf(envelope.message)) {
        bytes.append(body->constData(), static_cast<std::size_t>(body->size()));
    }
    return bytes;
}

MessageBytes encodeSplit(const Envelope &envelope)
{
    const std::string head = internal::encodeHead(envelope);
    const QByteArray *const body = internal::longBodyOf(envelope.message);
    return {.head = QByteArray{head.data(), static_cast<qsizetype>(head.size())}, .body = body == nullptr ? QByteArray{} : *body};
}

Result<Envelope> decode(const std::string_view bytes)
{
    wire::Envelope wire;
    if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return tl::unexpected{Error{ErrorCode::malformed, "bytes are not a valid protobuf Envelope"}};
    }
    if (wire.protocol_version() != protocolVersion) {
        return tl::unexpected{
            Error{ErrorCode::wrongVersion, fmt::format("protocol version {} is not supported, expected {}", wire.protocol_version(), protocolVersion)}};
    }
    if (wire.sender().empty()) {
        return tl::unexpected{Error{ErrorCode::malformed, "envelope without a sender"}};
    }
    Result<Message> message = internal::readBody(wire);
    if (!message.has_value()) {
        return tl::unexpected{message.error()};
    }
    return Envelope{.sender = {wire.sender()}, .incarnation = {wire.sender_incarnation()}, .message = std::move(*message)};
}

Result<Envelope> decodeShared(QByteArray bytes)
{
    const std::string_view all{bytes.constData(), static_cast<std::size_t>(bytes.size())};
    const std::optional<internal::LongBodyPosition> position = internal::findLongBody(all);
    if (!position.has_value()) {
        return decode(all);
    }
    Result<Envelope> envelope = decode(all.substr(0, position->field));
    QByteArray *const body = envelope.has_value() ? internal::bodyOf(envelope->message) : nullptr;
    if (body == nullptr) {
        return decode(all);
    }
    // Removing from the front moves no byte.
    bytes.remove(0, static_cast<qsizetype>(position->body));
    *body = std::move(bytes);
    return envelope;
}

} // namespace egretlatch::protocol
