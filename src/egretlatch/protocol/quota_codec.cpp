// Conversion of reports on quotas between C++ and protobuf messages.

#include <egretlatch/protocol/codec_parts.hpp>

#include <algorithm>

namespace egretlatch::protocol::internal
{

// Larger counts come from no daemon, and sums of them could overflow.
static constexpr std::uint64_t maxCount = 1'000'000'000;
static constexpr std::uint64_t maxRoomInMs = 3'600'000;

void write(const quota::UseReport &report, wire::QuotaReport &wire)
{
    wire.set_sequence(report.sequence);
    for (const quota::AccountUse &use : report.uses) {
        wire::QuotaUse *const added = wire.add_uses();
        added->set_account(use.account);
        added->set_used(use.used);
        added->set_asked(use.asked);
        added->set_returned(use.returned);
    }
}

quota::UseReport read(const wire::QuotaReport &wire)
{
    constexpr auto maxUsed = static_cast<std::int64_t>(maxCount);
    quota::UseReport report{.sequence = wire.sequence(), .uses = {}};
    for (const wire::QuotaUse &use : wire.uses()) {
        report.uses.push_back({
            .account = use.account(),
            .used = std::clamp<std::int64_t>(use.used(), -maxUsed, maxUsed),
            .asked = std::min<std::uint64_t>(use.asked(), maxCount),
            .returned = std::min<std::uint64_t>(use.returned(), maxCount),
        });
    }
    return report;
}

void write(const quota::GrantReply &reply, wire::QuotaReply &wire)
{
    wire.set_sequence(reply.sequence);
    for (const quota::AccountGrant &grant : reply.grants) {
        wire::QuotaGrant *const added = wire.add_grants();
        added->set_account(grant.account);
        added->set_credit(grant.credit);
        added->set_allowance(grant.allowance);
        added->set_is_short(grant.isShort);
        added->set_room_in_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(grant.roomIn.count(), 0)));
    }
}

quota::GrantReply read(const wire::QuotaReply &wire)
{
    quota::GrantReply reply{.sequence = wire.sequence(), .grants = {}};
    for (const wire::QuotaGrant &grant : wire.grants()) {
        reply.grants.push_back({
            .account = grant.account(),
            .credit = std::min<std::uint64_t>(grant.credit(), maxCount),
            .allowance = std::min<std::uint64_t>(grant.allowance(), maxCount),
            .isShort = grant.is_short(),
            .roomIn = std::chrono::milliseconds{static_cast<std::int64_t>(std::min<std::uint64_t>(grant.room_in_ms(), maxRoomInMs))},
        });
    }
    return reply;
}

} // namespace egretlatch::protocol::internal
