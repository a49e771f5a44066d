#ifndef EGRETLATCH_CORE_SECRET_HPP
#define EGRETLATCH_CORE_SECRET_HPP

#include <string>
#include <string_view>

namespace egretlatch
{

/*! @brief A token that must not be shown; it has no way into a log line or a stream. */
class Secret
{
public:
    /*! @brief Builds an empty secret, which nothing matches. */
    Secret() = default;

    /**
     * @brief Takes a token.
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
     * @brief Compares in a time that depends on the offered text alone.
     *
     * A comparison that stops at the first difference lets a stranger find the token letter by letter from how long the
     * answer takes, so each letter is looked at whatever was found before.
     * @param offered What somebody offers.
     * @return True if it is the token, and there is one.
     */
    [[nodiscard]] bool matches(std::string_view offered) const noexcept;

    /**
     * @brief Gives the header by which the token is offered over HTTP.
     * @return `Bearer` and the token; empty without one.
     */
    [[nodiscard]] std::string toBearer() const;

    /**
     * @brief Tells whether an `Authorization` header offers the token.
     * @param header Value of the header.
     * @return True if it is `Bearer` and the token.
     */
    [[nodiscard]] bool matchesBearer(std::string_view header) const noexcept;

private:
    std::string m_token;
};

} // namespace egretlatch

#endif
