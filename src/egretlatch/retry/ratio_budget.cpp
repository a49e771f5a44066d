#include <egretlatch/retry/ratio_budget.hpp>

#include <algorithm>

namespace egretlatch::retry
{

namespace internal
{

constexpr double minPart = 1.0;

} // namespace internal

void RatioBudget::setMaxSaved(const double maxSaved)
{
    m_maxSaved = maxSaved;
}

void RatioBudget::setPartOfSlack(const double fleetSlack, const std::size_t daemons)
{
    const bool isAlone = daemons < 2;
    setMaxSaved(isAlone || fleetSlack <= 0.0 ? 0.0 : std::max(fleetSlack / static_cast<double>(daemons), internal::minPart));
}

void RatioBudget::noteFirstAttempt(const std::string &service, const double ratio)
{
    const auto found = m_spent.find(service);
    if (found != m_spent.end()) {
        found->second = std::max(found->second - ratio, 0.0);
    }
}

bool RatioBudget::take(const std::string &service)
{
    double &spent = m_spent[service];
    if (spent + 1.0 > m_maxSaved) {
        return false;
    }
    spent += 1.0;
    return true;
}

void RatioBudget::charge(const std::string &service)
{
    double &spent = m_spent[service];
    spent = std::min(spent + 1.0, m_maxSaved + maxDebt);
}

std::map<std::string, double> RatioBudget::left() const
{
    std::map<std::string, double> left;
    for (const auto &[service, spent] : m_spent) {
        left.emplace(service, m_maxSaved - spent);
    }
    return left;
}

} // namespace egretlatch::retry
