#include <egretlatch/membership/departures.hpp>

#include <algorithm>

namespace egretlatch::membership
{

namespace internal
{

constexpr std::size_t mostDepartures = 64;

} // namespace internal

bool Departures::note(const std::string &life)
{
    if (contains(life)) {
        return false;
    }
    m_lives.push_back(life);
    if (m_lives.size() > internal::mostDepartures) {
        m_lives.pop_front();
    }
    return true;
}

bool Departures::contains(const std::string &life) const
{
    return std::find(m_lives.begin(), m_lives.end(), life) != m_lives.end();
}

} // namespace egretlatch::membership
