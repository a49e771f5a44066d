#include <egretlatch/sidecar/server_life.hpp>

#include <fmt/format.h>

namespace egretlatch::sidecar
{

namespace internal
{

[[nodiscard]] static std::string nameOf(const std::string &instance, const std::int64_t bornMs)
{
    return fmt::format("{}#{}", instance, bornMs);
}

} // namespace internal

std::string_view toString(const ReportEffect effect) noexcept
{
    switch (effect) {
    case ReportEffect::ofAnotherServer:
        return "of-another-server";
    case ReportEffect::leavingElsewhere:
        return "leaving-elsewhere";
    case ReportEffect::late:
        return "late";
    case ReportEffect::serving:
        return "serving";
    case ReportEffect::leaving:
        return "leaving";
    }
    return "unknown";
}

ServerLife::ServerLife(std::string service, std::string address)
    : m_service{std::move(service)}
    , m_address{std::move(address)}
{
}

ReportEffect ServerLife::take(const platform::ServerReport &report)
{
    const bool isFarewell = report.state == platform::ServerReportState::left;
    if (isFarewell) {
        m_isLeaving = m_isLeaving || isPresent(report);
        return isPresent(report) ? ReportEffect::leaving : ReportEffect::leavingElsewhere;
    }
    if (report.service != m_service || report.address != m_address) {
        return ReportEffect::ofAnotherServer;
    }
    if (isStale(report)) {
        noteRival(report);
        return ReportEffect::late;
    }
    m_rival.reset();
    const bool isNewLife = report.instance != m_instance || report.bornMs != m_bornMs;
    if (isNewLife) {
        m_earlierInstance = m_instance;
        m_instance = report.instance;
        m_bornMs = report.bornMs;
        m_isLeaving = false;
    }
    m_sequence = report.sequence;
    m_slots = report.slots;
    // A server that has said that it leaves does not come back within the same life.
    m_isLeaving = m_isLeaving || report.state == platform::ServerReportState::draining;
    return m_isLeaving ? ReportEffect::leaving : ReportEffect::serving;
}

std::string ServerLife::lifeName() const
{
    return internal::nameOf(m_instance, m_bornMs);
}

std::string ServerLife::lifeOf(const platform::ServerReport &report) const
{
    const bool isFarewell = report.state == platform::ServerReportState::left;
    return isFarewell && isPresent(report) ? lifeName() : internal::nameOf(report.instance, report.bornMs);
}

bool ServerLife::isPresent(const platform::ServerReport &farewell) const
{
    return farewell.instance == m_instance && (farewell.bornMs == 0 || farewell.bornMs == m_bornMs);
}

bool ServerLife::isStale(const platform::ServerReport &report) const
{
    if (report.instance == m_instance && report.bornMs == m_bornMs) {
        return report.sequence <= m_sequence;
    }
    // Of two lives at one address the later one is the present one.
    if (report.bornMs != 0 && m_bornMs != 0) {
        return report.bornMs < m_bornMs;
    }
    return !report.instance.empty() && report.instance == m_earlierInstance && !isOvertaking(report);
}

// Without times of start, the order in which two lives are first heard of may be wrong; the one that goes on reporting lives.
bool ServerLife::isOvertaking(const platform::ServerReport &report) const
{
    return m_rival.has_value() && m_rival->instance == report.instance && report.sequence > m_rival->sequence;
}

void ServerLife::noteRival(const platform::ServerReport &report)
{
    if (report.instance != m_instance) {
        m_rival = Rival{.instance = report.instance, .sequence = report.sequence};
    }
}

} // namespace egretlatch::sidecar
