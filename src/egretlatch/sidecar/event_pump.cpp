#include <egretlatch/sidecar/event_pump.hpp>

#include <exception>
#include <utility>

namespace egretlatch::sidecar
{

void EventPump::post(decision::Event event)
{
    if (m_hasFailed) {
        return;
    }
    m_events.push_back(std::move(event));
    if (m_isHandling) {
        return;
    }
    m_isHandling = true;
    try {
        handleAll();
    } catch (const std::exception &exception) {
        fail(exception.what());
    } catch (...) {
        fail("unknown exception");
    }
    m_isHandling = false;
}

void EventPump::handleAll()
{
    while (!m_events.empty()) {
        const decision::Event next = std::move(m_events.front());
        m_events.pop_front();
        m_handlers.onEvent(next);
    }
    m_handlers.onSettled();
}

void EventPump::fail(const std::string_view reason)
{
    m_hasFailed = true;
    m_events.clear();
    m_handlers.onFailed(reason);
}

} // namespace egretlatch::sidecar
