#include <egretlatch/core/uuid.hpp>

#include <cstring>

#include <fmt/format.h>
#include <xxhash.h>

namespace egretlatch
{

namespace internal
{

constexpr std::size_t textSize = 36;
constexpr std::size_t timeBytes = 6;
constexpr std::size_t versionByte = 6;
constexpr std::size_t variantByte = 8;
constexpr std::uint8_t versionSeven = 0x70;
constexpr std::uint8_t variantRfc = 0x80;
constexpr int bitsPerByte = 8;

[[nodiscard]] static bool isDash(const std::size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

[[nodiscard]] static int hexDigit(const char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    if (digit >= 'a' && digit <= 'f') {
        return digit - 'a' + 10;
    }
    if (digit >= 'A' && digit <= 'F') {
        return digit - 'A' + 10;
    }
    return -1;
}

} // namespace internal

std::optional<Uuid> Uuid::parse(const std::string_view text)
{
    if (text.size() != internal::textSize) {
        return std::nullopt;
    }
    Bytes bytes{};
    std::size_t nibble = 0;
    for (std::size_t position = 0; position < text.size(); ++position) {
        if (internal::isDash(position)) {
            if (text[position] != '-') {
                return std::nullopt;
            }
            continue;
        }
        const int digit = internal::hexDigit(text[position]);
        if (digit < 0) {
            return std::nullopt;
        }
        auto &byte = bytes[nibble / 2];
        byte = static_cast<std::uint8_t>((byte << 4) | digit);
        ++nibble;
    }
    return Uuid{bytes};
}

std::optional<Uuid> Uuid::fromBytes(const std::string_view bytes)
{
    if (bytes.size() != size) {
        return std::nullopt;
    }
    Bytes value{};
    std::memcpy(value.data(), bytes.data(), size);
    return Uuid{value};
}

std::optional<WallTime> Uuid::mintedAt() const noexcept
{
    constexpr std::uint8_t highNibble = 0xf0;
    constexpr std::uint8_t variantMask = 0xc0;
    const bool isVersionSeven = (m_bytes[internal::versionByte] & highNibble) == internal::versionSeven;
    const bool isRfcVariant = (m_bytes[internal::variantByte] & variantMask) == internal::variantRfc;
    if (!isVersionSeven || !isRfcVariant) {
        return std::nullopt;
    }
    std::int64_t milliseconds = 0;
    for (std::size_t index = 0; index < internal::timeBytes; ++index) {
        milliseconds = (milliseconds << internal::bitsPerByte) | m_bytes[index];
    }
    return WallTime{std::chrono::milliseconds{milliseconds}};
}

std::string Uuid::toString() const
{
    std::string text;
    text.reserve(internal::textSize);
    for (std::size_t index = 0; index < size; ++index) {
        if (internal::isDash(text.size())) {
            text.push_back('-');
        }
        fmt::format_to(std::back_inserter(text), "{:02x}", m_bytes[index]);
    }
    return text;
}

std::string Uuid::toBytes() const
{
    return std::string{m_bytes.begin(), m_bytes.end()};
}

std::uint64_t Uuid::hash() const noexcept
{
    return XXH64(m_bytes.data(), m_bytes.size(), 0);
}

Uuid UuidGenerator::generate(const WallTime now)
{
    constexpr std::uint8_t lowNibble = 0x0f;
    constexpr std::uint8_t variantRest = 0x3f;
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    const std::uint64_t first = m_random.next();
    const std::uint64_t second = m_random.next();
    Uuid::Bytes bytes{};
    std::memcpy(bytes.data(), &first, sizeof first);
    std::memcpy(bytes.data() + sizeof first, &second, sizeof second);
    for (std::size_t index = 0; index < internal::timeBytes; ++index) {
        const auto shift = internal::bitsPerByte * (internal::timeBytes - 1 - index);
        bytes[index] = static_cast<std::uint8_t>(milliseconds >> shift);
    }
    bytes[internal::versionByte] = static_cast<std::uint8_t>((bytes[internal::versionByte] & lowNibble) | internal::versionSeven);
    bytes[internal::variantByte] = static_cast<std::uint8_t>((bytes[internal::variantByte] & variantRest) | internal::variantRfc);
    return Uuid{bytes};
}

} // namespace egretlatch
