#ifndef EGRETLATCH_RETRY_REQUEST_KEY_HPP
#define EGRETLATCH_RETRY_REQUEST_KEY_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/core/random_source.hpp>
#include <egretlatch/core/uuid.hpp>

namespace egretlatch::retry
{

/**
 * @brief Tells whether any daemon takes a key.
 * @param key The key as a caller sent it.
 * @return True for at most 255 printable characters without spaces. Any other key is refused everywhere, so it never runs.
 */
[[nodiscard]] bool isUsableKey(std::string_view key) noexcept;

/*! @brief One life of one daemon: the only process that may begin requests with a key. */
struct KeyOwner
{
    DaemonId daemon;
    Incarnation incarnation;

    friend auto operator<=>(const KeyOwner &, const KeyOwner &) = default;
};

/**
 * @brief An idempotency key that has an owner.
 *
 * Text: `el1-INCARNATION-AGE-NONCE-LENGTH:DAEMON`, then any suffix, then `~N` on the N-th resend. The age is the
 * owner's own steady time, in milliseconds of its life, so that no two clocks are ever compared. The other form is a
 * version 7 UUID, of the caller's own making, whose owner the table tells; its age is the calendar time that it carries.
 */
class RequestKey
{
public:
    /**
     * @brief Mints a key.
     * @param owner The life that owns it: always the one that mints.
     * @param age Age of the owner.
     * @param random Source of the nonce.
     * @return The key.
     */
    [[nodiscard]] static RequestKey mint(const KeyOwner &owner, std::chrono::milliseconds age, RandomSource &random);

    /**
     * @brief Reads a key.
     * @param text The key as a caller sent it.
     * @return The key, or nothing if it names no owner.
     */
    [[nodiscard]] static std::optional<RequestKey> parse(std::string_view text);

    /**
     * @brief Reads a key that carries its time, but names no owner.
     * @param text A version 7 UUID as a caller sent it, with `~N` on the N-th resend.
     * @return The key, without an owner yet, or nothing for any other text.
     */
    [[nodiscard]] static std::optional<RequestKey> parseUuid(std::string_view text);

    /**
     * @brief Gives a key the owner that the table tells.
     * @param owner The owner.
     * @return The key with its owner.
     */
    [[nodiscard]] RequestKey withOwner(KeyOwner owner) const;

    /**
     * @brief Derives the key of an inner call.
     *
     * The same call of a run that is made again gets the same key, and the same owner.
     * @param identity What tells the call from others of the same run.
     * @return A key with the owner and the age of this one.
     */
    [[nodiscard]] RequestKey derive(std::string_view identity) const;

    /**
     * @brief Gives the key of the next resend after a `not-run`.
     * @return The key with its resend number raised by one.
     */
    [[nodiscard]] RequestKey next() const;

    /**
     * @brief Gives the key that next() was called on.
     * @return The key, or nothing for the first one.
     */
    [[nodiscard]] std::optional<RequestKey> previous() const;

    [[nodiscard]] const std::string &text() const noexcept
    {
        return m_text;
    }

    [[nodiscard]] const KeyOwner &owner() const noexcept
    {
        return m_owner;
    }

    [[nodiscard]] std::chrono::milliseconds age() const noexcept
    {
        return m_age;
    }

    /*! @brief Set for a key in the form of a UUID. */
    [[nodiscard]] const std::optional<Uuid> &uuid() const noexcept
    {
        return m_uuid;
    }

    /*! @brief 0 for a key that is sent for the first time, 1 for the key of the first resend. */
    [[nodiscard]] int resend() const noexcept
    {
        return m_resend;
    }

    friend bool operator==(const RequestKey &, const RequestKey &) = default;

private:
    RequestKey() = default;

    std::string m_text;
    KeyOwner m_owner;
    std::chrono::milliseconds m_age{};
    int m_resend{};
    std::optional<Uuid> m_uuid;
};

} // namespace egretlatch::retry

#endif
