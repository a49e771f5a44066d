#include <egretlatch/core/secret.hpp>

#include <QCryptographicHash>

namespace egretlatch
{

namespace internal
{

constexpr std::string_view bearerPrefix{"Bearer "};
// Separates these digests from other hashes of the same bytes.
constexpr std::string_view digestPrefix{"egretlatch api key\n"};

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

std::string Secret::digest() const
{
    if (m_token.empty()) {
        return {};
    }
    QCryptographicHash hash{QCryptographicHash::Sha256};
    hash.addData(QByteArrayView{internal::digestPrefix.data(), static_cast<qsizetype>(internal::digestPrefix.size())});
    hash.addData(QByteArrayView{m_token.data(), static_cast<qsizetype>(m_token.size())});
    return hash.result().toHex().toStdString();
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
