#ifndef EGRETLATCH_CORE_UUID_HPP
#define EGRETLATCH_CORE_UUID_HPP

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/random_source.hpp>

namespace egretlatch
{

/*! @brief UUID of RFC 9562, stored as 16 bytes in network order. */
class Uuid
{
public:
    static constexpr std::size_t size = 16;
    using Bytes = std::array<std::uint8_t, size>;

    /*! @brief Constructs the nil UUID. */
    Uuid() = default;

    /**
     * @brief Constructs a UUID from its bytes.
     * @param bytes The value in network order; not validated.
     */
    explicit Uuid(const Bytes &bytes)
        : m_bytes{bytes}
    {
    }

    /**
     * @brief Parses the 36-character form.
     * @param text Hexadecimal digits in groups of 8-4-4-4-12, either case.
     * @return The UUID, or nothing for any other format.
     */
    [[nodiscard]] static std::optional<Uuid> parse(std::string_view text);

    /**
     * @brief Reads the 16-byte form.
     * @param bytes Exactly 16 bytes.
     * @return The UUID, or nothing for any other length.
     */
    [[nodiscard]] static std::optional<Uuid> fromBytes(std::string_view bytes);

    [[nodiscard]] const Bytes &bytes() const noexcept
    {
        return m_bytes;
    }

    [[nodiscard]] bool isNil() const noexcept
    {
        return m_bytes == Bytes{};
    }

    /**
     * @brief Returns the time at which a version 7 UUID was generated.
     * @return The time with millisecond precision, or nothing for other versions.
     */
    [[nodiscard]] std::optional<WallTime> mintedAt() const noexcept;

    /**
     * @brief Formats the 36-character form.
     * @return The text in lower case.
     */
    [[nodiscard]] std::string toString() const;

    /**
     * @brief Returns the 16-byte form.
     * @return The bytes as a string.
     */
    [[nodiscard]] std::string toBytes() const;

    /**
     * @brief Returns a hash that is the same on every machine.
     * @return 64 bits of xxHash over the bytes.
     */
    [[nodiscard]] std::uint64_t hash() const noexcept;

    friend auto operator<=>(const Uuid &, const Uuid &) = default;

private:
    Bytes m_bytes{};
};

/*! @brief Generates version 7 UUIDs. */
class UuidGenerator
{
public:
    /**
     * @brief Constructs a generator.
     * @param random Source of the random bits; must outlive the generator.
     */
    explicit UuidGenerator(RandomSource &random)
        : m_random{random}
    {
    }

    /**
     * @brief Generates a UUID.
     * @param now Wall clock time to encode, truncated to milliseconds.
     * @return A version 7 UUID.
     */
    [[nodiscard]] Uuid generate(WallTime now);

private:
    RandomSource &m_random;
};

} // namespace egretlatch

template<>
struct std::hash<egretlatch::Uuid>
{
    std::size_t operator()(const egretlatch::Uuid &uuid) const noexcept
    {
        return uuid.hash();
    }
};

#endif
