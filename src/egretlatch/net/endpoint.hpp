#ifndef EGRETLATCH_NET_ENDPOINT_HPP
#define EGRETLATCH_NET_ENDPOINT_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace egretlatch::net
{

/*! @brief IPv4 address and port. */
struct Endpoint
{
    /*! @brief Address in dotted decimal notation. */
    std::string address;
    std::uint16_t port{};

    /**
     * @brief Parses the form `ADDRESS:PORT`.
     * @param text The text.
     * @return The endpoint, or nothing for any other format.
     */
    [[nodiscard]] static std::optional<Endpoint> parse(std::string_view text);

    [[nodiscard]] std::string text() const;

    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

} // namespace egretlatch::net

#endif
