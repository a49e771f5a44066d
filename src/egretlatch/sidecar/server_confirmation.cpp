#include <egretlatch/sidecar/server_confirmation.hpp>

#include <utility>

namespace egretlatch::sidecar
{

namespace internal
{

// Below the interval of the reports; two that were delayed together arrive closer to each other.
constexpr std::chrono::milliseconds minReportSpacing{200};

} // namespace internal

std::optional<decision::ServerAnnounced>
ServerConfirmation::handleAnnounced(const decision::ServerAnnounced &announced, const std::string &instance, const SteadyTime now)
{
    if (m_hasConfirmed) {
        return announced;
    }
    if (!m_held.has_value() || m_held->announced.instance != announced.instance) {
        m_held = Held{.announced = announced, .instance = instance, .since = now};
        return std::nullopt;
    }
    m_held->announced = announced;
    return now - m_held->since >= internal::minReportSpacing ? confirm() : std::nullopt;
}

std::optional<decision::ServerAnnounced> ServerConfirmation::handleHealth(const platform::ServerHealth &health)
{
    const bool isConfirmed = m_held.has_value() && health.isServing && health.instance == m_held->instance;
    return isConfirmed ? confirm() : std::nullopt;
}

void ServerConfirmation::handleLeaving()
{
    m_held.reset();
}

std::optional<decision::ServerAnnounced> ServerConfirmation::confirm()
{
    m_hasConfirmed = true;
    return std::exchange(m_held, std::nullopt)->announced;
}

} // namespace egretlatch::sidecar
