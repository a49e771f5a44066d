#ifndef EGRETLATCH_SIDECAR_SERVER_CONFIRMATION_HPP
#define EGRETLATCH_SIDECAR_SERVER_CONFIRMATION_HPP

#include <optional>
#include <string>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/decision/event.hpp>
#include <egretlatch/platform/server_wire.hpp>

namespace egretlatch::sidecar
{

/**
 * @brief Holds back the first announcement of the backend server until the server has confirmed it since this daemon started.
 *
 * After a loss of all daemons, none knows which servers have left, and a report that a server sent before it left may arrive
 * late. The server would get requests again, and end with them. It confirms an announcement by its health check, which names
 * the incarnation and is negative while it leaves. Health checks may be wrong, so a second, later report confirms as well: a
 * server that has left sends none.
 */
class ServerConfirmation
{
public:
    /**
     * @brief Handles the announcement that a report leads to.
     * @param announced The announcement.
     * @param instance Instance id of the server.
     * @param now Current time.
     * @return The announcement if it is confirmed; nothing while it is held back.
     */
    [[nodiscard]] std::optional<decision::ServerAnnounced>
    handleAnnounced(const decision::ServerAnnounced &announced, const std::string &instance, SteadyTime now);

    /**
     * @brief Handles the answer to a health check.
     * @param health The answer.
     * @return The announcement if this confirms it.
     */
    [[nodiscard]] std::optional<decision::ServerAnnounced> handleHealth(const platform::ServerHealth &health);

    /*! @brief Discards an announcement that is held back, as the server leaves. */
    void handleLeaving();

    /*! @brief Checks whether an announcement is held back, so that a health check is due. */
    [[nodiscard]] bool isHolding() const noexcept
    {
        return m_held.has_value();
    }

private:
    struct Held
    {
        decision::ServerAnnounced announced;
        std::string instance;
        SteadyTime since;
    };

    [[nodiscard]] std::optional<decision::ServerAnnounced> confirm();

    std::optional<Held> m_held;
    /*! @brief Set once a server has been confirmed: this daemon then knows of all later departures. */
    bool m_hasConfirmed{};
};

} // namespace egretlatch::sidecar

#endif
