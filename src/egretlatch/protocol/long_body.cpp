#include <egretlatch/protocol/long_body.hpp>

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/wire_format_lite.h>

#include <egretlatch/core/message_bytes.hpp>
#include <egretlatch/protocol/codec_parts.hpp>

namespace egretlatch::protocol::internal
{

using google::protobuf::internal::WireFormatLite;
using google::protobuf::io::CodedInputStream;
using google::protobuf::io::CodedOutputStream;

namespace
{

/*! @brief Tags of the message that holds a body, and of the body in it. */
struct BodyTags
{
    std::uint32_t message{};
    std::uint32_t body{};
};

[[nodiscard]] constexpr std::uint32_t tagOf(const int field)
{
    return WireFormatLite::MakeTag(field, WireFormatLite::WIRETYPE_LENGTH_DELIMITED);
}

constexpr BodyTags requestTags{.message = tagOf(wire::Envelope::kRequestFieldNumber), .body = tagOf(wire::CallRequest::kBodyFieldNumber)};
constexpr BodyTags answerTags{.message = tagOf(wire::Envelope::kAnswerFieldNumber), .body = tagOf(wire::CallAnswer::kBodyFieldNumber)};

/*! @brief Checks whether a length-delimited field begins here and ends with the bytes. */
[[nodiscard]] bool readLastLength(CodedInputStream &input, const std::size_t size)
{
    std::uint32_t length = 0;
    return input.ReadVarint32(&length) && static_cast<std::size_t>(input.CurrentPosition()) + length == size;
}

[[nodiscard]] std::optional<std::size_t> readBody(CodedInputStream &input, const std::uint32_t tag, const std::size_t size)
{
    if (input.ReadTag() != tag || !readLastLength(input, size)) {
        return std::nullopt;
    }
    const auto begin = static_cast<std::size_t>(input.CurrentPosition());
    return size - begin >= static_cast<std::size_t>(longBodyBytes) ? std::optional{begin} : std::nullopt;
}

} // namespace

const QByteArray *longBodyOf(const Message &message)
{
    const QByteArray *body = nullptr;
    if (const auto *const request = std::get_if<CallRequest>(&message)) {
        body = &request->body;
    } else if (const auto *const answer = std::get_if<CallAnswer>(&message)) {
        body = &answer->body;
    }
    return body != nullptr && isLongBody(*body) ? body : nullptr;
}

void appendLongBodyPrefix(const Message &message, const QByteArray &body, std::string &bytes)
{
    const BodyTags tags = std::holds_alternative<CallRequest>(message) ? requestTags : answerTags;
    const auto bodySize = static_cast<std::uint32_t>(body.size());
    const std::size_t prefixSize = CodedOutputStream::VarintSize32(tags.body) + CodedOutputStream::VarintSize32(bodySize);
    google::protobuf::io::StringOutputStream stream{&bytes};
    CodedOutputStream output{&stream};
    output.WriteTag(tags.message);
    output.WriteVarint32(static_cast<std::uint32_t>(prefixSize) + bodySize);
    output.WriteTag(tags.body);
    output.WriteVarint32(bodySize);
}

std::optional<LongBodyPosition> findLongBody(const std::string_view bytes)
{
    if (bytes.size() < static_cast<std::size_t>(longBodyBytes)) {
        return std::nullopt;
    }
    CodedInputStream input{reinterpret_cast<const std::uint8_t *>(bytes.data()), static_cast<int>(bytes.size())};
    while (true) {
        const auto field = static_cast<std::size_t>(input.CurrentPosition());
        const std::uint32_t tag = input.ReadTag();
        if (tag != requestTags.message && tag != answerTags.message) {
            if (tag == 0 || !WireFormatLite::SkipField(&input, tag)) {
                return std::nullopt;
            }
            continue;
        }
        std::uint32_t length = 0;
        if (!input.ReadVarint32(&length)) {
            return std::nullopt;
        }
        if (static_cast<std::size_t>(input.CurrentPosition()) + length == bytes.size()) {
            const std::optional<std::size_t> body = readBody(input, tag == requestTags.message ? requestTags.body : answerTags.body, bytes.size());
            return body.has_value() ? std::optional{LongBodyPosition{.field = field, .body = *body}} : std::nullopt;
        }
        if (!input.Skip(static_cast<int>(length))) {
            return std::nullopt;
        }
    }
}

} // namespace egretlatch::protocol::internal
