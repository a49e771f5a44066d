#include <egretlatch/membership/departures.hpp>

#include <algorithm>

#include <egretlatch/membership/incarnation_name.hpp>

namespace egretlatch::membership
{

namespace internal
{

constexpr std::size_t maxDepartures = 64;

} // namespace internal

bool Departures::note(const std::string &incarnation)
{
    if (contains(incarnation)) {
        return false;
    }
    m_incarnations.push_back(incarnation);
    if (m_incarnations.size() > internal::maxDepartures) {
        m_incarnations.pop_front();
    }
    return true;
}

bool Departures::contains(const std::string &incarnation) const
{
    const std::optional<std::string_view> prefix = prefixWithoutStart(incarnation);
    return std::any_of(m_incarnations.begin(), m_incarnations.end(), [&incarnation, &prefix](const std::string &known) {
        return known == incarnation || (prefix.has_value() && known.starts_with(*prefix));
    });
}

} // namespace egretlatch::membership
