#ifndef EGRETLATCH_PROTOCOL_CODEC_PARTS_HPP
#define EGRETLATCH_PROTOCOL_CODEC_PARTS_HPP

#include <string>

#include <QByteArray>

#include <egretlatch/core/error.hpp>
#include <egretlatch/protocol/messages.hpp>

#include <wire.pb.h>

namespace egretlatch::protocol::internal
{

[[nodiscard]] inline Duration toDuration(const std::int64_t nanoseconds)
{
    return Duration{nanoseconds};
}

[[nodiscard]] inline std::string toBytes(const QByteArray &body)
{
    return {body.constData(), static_cast<std::size_t>(body.size())};
}

[[nodiscard]] inline QByteArray toByteArray(const std::string &bytes)
{
    return {bytes.data(), static_cast<qsizetype>(bytes.size())};
}

template<typename Wire>
void writeHeaders(const Headers &headers, Wire &wire)
{
    for (const Header &header : headers) {
        auto *const added = wire.add_headers();
        added->set_name(header.name);
        added->set_value(header.value);
    }
}

template<typename Wire>
[[nodiscard]] Headers readHeaders(const Wire &wire)
{
    Headers headers;
    headers.reserve(static_cast<std::size_t>(wire.headers_size()));
    for (const auto &header : wire.headers()) {
        headers.push_back({.name = header.name(), .value = header.value()});
    }
    return headers;
}

/*! @brief Converts calls, their answers and performance reports; defined in call_codec.cpp. */
void write(const CallRequest &request, wire::CallRequest &wire);
[[nodiscard]] Result<Message> read(const wire::CallRequest &wire);
void write(const CallAnswer &answer, wire::CallAnswer &wire);
[[nodiscard]] Result<Message> read(const wire::CallAnswer &wire);
void write(const admission::KindPerformance &performance, wire::Pace &wire);
[[nodiscard]] admission::KindPerformance read(const wire::Pace &wire);

/*! @brief Converts gossip; defined in fleet_codec.cpp. */
void write(const Gossip &gossip, wire::Gossip &wire);
[[nodiscard]] Result<Message> read(const wire::Gossip &wire);

/*! @brief Converts reports on quotas and their replies; defined in quota_codec.cpp. */
void write(const quota::UseReport &report, wire::QuotaReport &wire);
[[nodiscard]] quota::UseReport read(const wire::QuotaReport &wire);
void write(const quota::GrantReply &reply, wire::QuotaReply &wire);
[[nodiscard]] quota::GrantReply read(const wire::QuotaReply &wire);

} // namespace egretlatch::protocol::internal

#endif
