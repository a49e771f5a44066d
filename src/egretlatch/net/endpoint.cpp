#include <egretlatch/net/endpoint.hpp>

#include <charconv>

#include <arpa/inet.h>

#include <fmt/format.h>

namespace egretlatch::net
{

std::optional<Endpoint> Endpoint::parse(const std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    Endpoint endpoint{.address = std::string{text.substr(0, colon)}};
    const char *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, endpoint.port);
    in_addr parsedAddress{};
    const bool isAddress = inet_pton(AF_INET, endpoint.address.c_str(), &parsedAddress) == 1;
    if (parsed.ec != std::errc{} || parsed.ptr != end || endpoint.port == 0 || !isAddress) {
        return std::nullopt;
    }
    return endpoint;
}

std::string Endpoint::text() const
{
    return fmt::format("{}:{}", address, port);
}

} // namespace egretlatch::net
