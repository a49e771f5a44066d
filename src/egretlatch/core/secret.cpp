#include <egretlatch/core/secret.hpp>

namespace egretlatch
{

namespace internal
{

constexpr std::string_view bearerPrefix{"Bearer "};

} // namespace internal

bool Secret::matches(const std::string_view offered) const noexcept
{
    if (m_token.empty()) {
        return false;
    }
    unsigned difference = offered.size() == m_token.size() ? 0U : 1U;
    for (std::size_t index = 0; index < offered.size(); ++index) {
        const auto expected = static_cast<unsigned char>(m_token[index % m_token.size()]);
        difference |= static_cast<unsigned>(expected ^ static_cast<unsigned char>(offered[index]));
    }
    return difference == 0;
}

std::string Secret::toBearer() const
{
    return m_token.empty() ? std::string{} : std::string{internal::bearerPrefix} + m_token;
}

bool Secret::matchesBearer(const std::string_view header) const noexcept
{
    return header.starts_with(internal::bearerPrefix) && matches(header.substr(internal::bearerPrefix.size()));
}

} // namespace egretlatch
