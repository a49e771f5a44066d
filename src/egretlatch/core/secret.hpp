#ifndef EGRETLATCH_CORE_SECRET_HPP
#define EGRETLATCH_CORE_SECRET_HPP

#include <string>
#include <string_view>

namespace egretlatch
{

/*! @brief Token that must not be disclosed; it has no formatter and no stream operator, so it cannot be logged. */
class Secret
{
public:
    /*! @brief Constructs an empty secret, which matches nothing. */
    Secret() = default;

    /**
     * @brief Constructs a secret from a token.
     * @param token The token.
     */
    explicit Secret(std::string token)
        : m_token{std::move(token)}
    {
    }

    [[nodiscard]] bool isEmpty() const noexcept
    {
        return m_token.empty();
    }

    /**
     * @brief Compares a candidate in a time that depends on the length of the candidate alone.
     *
     * A comparison that stops at the first difference would let an attacker find the token character by character from
     * response times, so every character is compared regardless of earlier differences.
     * @param offered Candidate token.
     * @return True if it equals the token and the secret is not empty.
     */
    [[nodiscard]] bool matches(std::string_view offered) const noexcept;

    /**
     * @brief Returns the value of an HTTP `Authorization` header with the token.
     * @return `Bearer` and the token; empty if the secret is empty.
     */
    [[nodiscard]] std::string toBearer() const;

    /**
     * @brief Checks whether an `Authorization` header contains the token.
     * @param header Value of the header.
     * @return True if it is `Bearer` and the token.
     */
    [[nodiscard]] bool matchesBearer(std::string_view header) const noexcept;

    /**
     * @brief Returns a digest by which the token is looked up and compared without being kept.
     * @return SHA-256 of the token with a prefix of its own, as 64 lowercase hexadecimal digits; empty if the secret is empty.
     */
    [[nodiscard]] std::string digest() const;

private:
    std::string m_token;
};

} // namespace egretlatch

#endif
