#ifndef EGRETLATCH_SIDECAR_EVENT_PUMP_HPP
#define EGRETLATCH_SIDECAR_EVENT_PUMP_HPP

#include <deque>
#include <functional>
#include <string_view>

#include <egretlatch/decision/event.hpp>

namespace egretlatch::sidecar
{

/**
 * @brief Hands events to the decision core one at a time, in order, also those that are posted while one is handled.
 *
 * An exception of the core leaves its state in doubt: from then on no event reaches it, and the owner ends the daemon in order.
 * Without the guard, the exception would end the process with all of its connections.
 */
class EventPump
{
public:
    struct Handlers
    {
        /*! @brief Handles an event. */
        std::function<void(const decision::Event &event)> onEvent;
        /*! @brief Called when all posted events are handled. */
        std::function<void()> onSettled;
        /*! @brief Called once, with the reason, when a handler has thrown. */
        std::function<void(std::string_view reason)> onFailed;
    };

    explicit EventPump(Handlers handlers)
        : m_handlers{std::move(handlers)}
    {
    }

    /**
     * @brief Handles an event, or queues it while another one is handled; ignored after a failure.
     * @param event The event.
     */
    void post(decision::Event event);

    [[nodiscard]] bool hasFailed() const noexcept
    {
        return m_hasFailed;
    }

private:
    void handleAll();
    void fail(std::string_view reason);

    Handlers m_handlers;
    std::deque<decision::Event> m_events;
    bool m_isHandling{};
    bool m_hasFailed{};
};

} // namespace egretlatch::sidecar

#endif
