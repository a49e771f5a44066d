// Conversion of gossip between C++ and protobuf messages.

#include <egretlatch/protocol/codec_parts.hpp>

#include <optional>

namespace egretlatch::protocol::internal
{

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
        return tl::unexpected{Error{ErrorCode::malformed, "member without an id or with an unknown state"}};
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

[[nodiscard]] static wire::RumourKind toWire(const membership::RumourKind kind)
{
    switch (kind) {
    case membership::RumourKind::configuration:
        return wire::RUMOUR_KIND_CONFIGURATION;
    case membership::RumourKind::departure:
        return wire::RUMOUR_KIND_DEPARTURE;
    case membership::RumourKind::quarantine:
        return wire::RUMOUR_KIND_QUARANTINE;
    }
    return wire::RUMOUR_KIND_UNSPECIFIED;
}

[[nodiscard]] static std::optional<membership::RumourKind> fromWire(const wire::RumourKind kind)
{
    switch (kind) {
    case wire::RUMOUR_KIND_CONFIGURATION:
        return membership::RumourKind::configuration;
    case wire::RUMOUR_KIND_DEPARTURE:
        return membership::RumourKind::departure;
    case wire::RUMOUR_KIND_QUARANTINE:
        return membership::RumourKind::quarantine;
    default:
        return std::nullopt;
    }
}

static void write(const membership::Rumour &rumour, wire::Rumour &wire)
{
    wire.set_kind(toWire(rumour.key.kind));
    wire.set_key(rumour.key.key);
    wire.set_version(rumour.version);
    wire.set_payload(rumour.payload);
    wire.set_remaining_ns(rumour.remaining.count());
}

// Returns nothing for an unknown kind of rumour, so that a later version can add kinds.
[[nodiscard]] static std::optional<membership::Rumour> read(const wire::Rumour &wire)
{
    const std::optional<membership::RumourKind> kind = fromWire(wire.kind());
    if (!kind.has_value()) {
        return std::nullopt;
    }
    return membership::Rumour{
        .key = {.kind = *kind, .key = wire.key()},
        .version = wire.version(),
        .payload = wire.payload(),
        .remaining = toDuration(wire.remaining_ns()),
    };
}

void write(const Gossip &gossip, wire::Gossip &wire)
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
    for (const admission::KindPerformance &performance : gossip.performance) {
        write(performance, *wire.add_paces());
    }
    wire.set_knew_predecessor(gossip.knewPredecessor);
}

Result<Message> read(const wire::Gossip &wire)
{
    if (!wire::GossipPurpose_IsValid(wire.purpose())) {
        return tl::unexpected{Error{ErrorCode::malformed, "gossip message with an unknown purpose"}};
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
    for (const auto &performance : wire.paces()) {
        gossip.performance.push_back(read(performance));
    }
    gossip.knewPredecessor = wire.knew_predecessor();
    return gossip;
}

} // namespace egretlatch::protocol::internal
