#include <egretlatch/retry/request_key.hpp>

#include <algorithm>
#include <charconv>

#include <fmt/format.h>
#include <xxhash.h>

namespace egretlatch::retry
{

namespace internal
{

constexpr std::string_view prefix = "el1-";
constexpr std::size_t incarnationDigits = 16;
constexpr std::size_t ageDigits = 12;
constexpr std::size_t nonceDigits = 32;
constexpr int hexadecimal = 16;
constexpr int decimal = 10;
constexpr int maxResends = 99;
constexpr std::size_t uuidSize = 36;

/*! @brief Consumes a text from its front; each read fails if the text doesn't match. */
class Reader
{
public:
    explicit Reader(const std::string_view text)
        : m_rest{text}
    {
    }

    [[nodiscard]] bool skip(const std::string_view expected)
    {
        if (!m_rest.starts_with(expected)) {
            return false;
        }
        m_rest.remove_prefix(expected.size());
        return true;
    }

    [[nodiscard]] std::optional<std::string_view> take(const std::size_t size)
    {
        if (m_rest.size() < size) {
            return std::nullopt;
        }
        const std::string_view taken = m_rest.substr(0, size);
        m_rest.remove_prefix(size);
        return taken;
    }

    [[nodiscard]] std::optional<std::uint64_t> number(const std::size_t digits)
    {
        const std::optional<std::string_view> taken = take(digits);
        std::uint64_t value = 0;
        if (!taken.has_value()) {
            return std::nullopt;
        }
        const char *const end = taken->data() + taken->size();
        const auto parsed = std::from_chars(taken->data(), end, value, hexadecimal);
        return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional{value} : std::nullopt;
    }

    [[nodiscard]] std::string_view rest() const noexcept
    {
        return m_rest;
    }

private:
    std::string_view m_rest;
};

[[nodiscard]] static std::string compose(const KeyOwner &owner, const std::chrono::milliseconds age, const std::uint64_t high, const std::uint64_t low)
{
    return fmt::format("{}{:016x}-{:012x}-{:016x}{:016x}-{:02x}:{}",
                       prefix,
                       owner.incarnation.value,
                       static_cast<std::uint64_t>(age.count()),
                       high,
                       low,
                       owner.daemon.value.size(),
                       owner.daemon.value);
}

// Only the form that next() writes is a resend number: without leading zero and within the limit.
[[nodiscard]] static int parseResend(const std::string_view suffix)
{
    const std::size_t separator = suffix.rfind('~');
    if (separator == std::string_view::npos || separator + 1 == suffix.size() || suffix[separator + 1] == '0') {
        return 0;
    }
    int value = 0;
    const char *const end = suffix.data() + suffix.size();
    const auto parsed = std::from_chars(suffix.data() + separator + 1, end, value, decimal);
    return parsed.ec == std::errc{} && parsed.ptr == end && value > 0 && value <= maxResends ? value : 0;
}

} // namespace internal

bool isUsableKey(const std::string_view key) noexcept
{
    constexpr std::size_t maxKeySize = 255;
    return key.size() <= maxKeySize && std::all_of(key.begin(), key.end(), [](const char character) {
               return character > ' ' && character <= '~';
           });
}

RequestKey RequestKey::mint(const KeyOwner &owner, const std::chrono::milliseconds age, RandomSource &random)
{
    RequestKey key;
    const std::uint64_t high = random.next();
    const std::uint64_t low = random.next();
    key.m_text = internal::compose(owner, age, high, low);
    key.m_owner = owner;
    key.m_age = age;
    return key;
}

std::optional<RequestKey> RequestKey::parse(const std::string_view text)
{
    internal::Reader reader{text};
    if (!reader.skip(internal::prefix)) {
        return std::nullopt;
    }
    const auto incarnation = reader.number(internal::incarnationDigits);
    const bool hasAge = incarnation.has_value() && reader.skip("-");
    const auto age = hasAge ? reader.number(internal::ageDigits) : std::nullopt;
    const bool hasNonce = age.has_value() && reader.skip("-") && reader.take(internal::nonceDigits).has_value() && reader.skip("-");
    const auto size = hasNonce ? reader.number(2) : std::nullopt;
    const auto daemon = size.has_value() && reader.skip(":") ? reader.take(*size) : std::nullopt;
    if (!daemon.has_value() || daemon->empty()) {
        return std::nullopt;
    }
    RequestKey key;
    key.m_text = text;
    key.m_owner = {.daemon = {std::string{*daemon}}, .incarnation = {*incarnation}};
    key.m_age = std::chrono::milliseconds{static_cast<std::int64_t>(*age)};
    key.m_resend = internal::parseResend(reader.rest());
    return key;
}

std::optional<RequestKey> RequestKey::parseUuid(const std::string_view text)
{
    const std::string_view stem = text.substr(0, internal::uuidSize);
    const std::string_view suffix = text.substr(stem.size());
    const std::optional<Uuid> uuid = Uuid::parse(stem);
    const std::optional<WallTime> minted = uuid.has_value() ? uuid->mintedAt() : std::nullopt;
    const int resend = internal::parseResend(suffix);
    const bool isWellFormed = suffix.empty() || suffix == fmt::format("~{}", resend);
    if (!minted.has_value() || !isWellFormed) {
        return std::nullopt;
    }
    RequestKey key;
    // A UUID is case-insensitive, so the key uses its canonical text.
    key.m_text = uuid->toString() + std::string{suffix};
    key.m_age = std::chrono::duration_cast<std::chrono::milliseconds>(minted->time_since_epoch());
    key.m_resend = resend;
    key.m_uuid = uuid;
    return key;
}

RequestKey RequestKey::withOwner(KeyOwner owner) const
{
    RequestKey key = *this;
    key.m_owner = std::move(owner);
    return key;
}

RequestKey RequestKey::derive(const std::string_view identity) const
{
    const std::string input = fmt::format("{}\n{}", m_text, identity);
    const XXH128_hash_t hash = XXH3_128bits(input.data(), input.size());
    RequestKey key;
    key.m_text = internal::compose(m_owner, m_age, hash.high64, hash.low64);
    key.m_owner = m_owner;
    key.m_age = m_age;
    return key;
}

RequestKey RequestKey::next() const
{
    RequestKey key = *this;
    key.m_resend = m_resend + 1;
    const std::string_view stem = std::string_view{m_text}.substr(0, m_resend == 0 ? m_text.size() : m_text.rfind('~'));
    key.m_text = fmt::format("{}~{}", stem, key.m_resend);
    return key;
}

std::optional<RequestKey> RequestKey::previous() const
{
    if (m_resend == 0) {
        return std::nullopt;
    }
    RequestKey key = *this;
    key.m_resend = m_resend - 1;
    const std::string_view stem = std::string_view{m_text}.substr(0, m_text.rfind('~'));
    key.m_text = key.m_resend == 0 ? std::string{stem} : fmt::format("{}~{}", stem, key.m_resend);
    return key;
}

} // namespace egretlatch::retry
