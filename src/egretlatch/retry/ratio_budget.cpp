#include <egretlatch/retry/ratio_budget.hpp>

#include <algorithm>

namespace egretlatch::retry
{

void RatioBudget::setMostSaved(const double mostSaved)
{
    m_mostSaved = mostSaved;
    for (auto &[service, saved] : m_saved) {
        saved = std::min(saved, mostSaved);
    }
}

void RatioBudget::noteFirst(const std::string &service, const double ratio)
{
    double &saved = m_saved.try_emplace(service, m_mostSaved).first->second;
    saved = std::min(saved + ratio, m_mostSaved);
}

bool RatioBudget::take(const std::string &service)
{
    double &saved = m_saved.try_emplace(service, m_mostSaved).first->second;
    if (saved < 1.0) {
        return false;
    }
    saved -= 1.0;
    return true;
}

} // namespace egretlatch::retry
