#include <egretlatch/membership/departures.hpp>

#include <algorithm>

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
    return std::find(m_incarnations.begin(), m_incarnations.end(), incarnation) != m_incarnations.end();
}

} // namespace egretlatch::membership
