#include <egretlatch/net/poller.hpp>

#include <egretlatch/net/event_dispatcher.hpp>

namespace egretlatch::net
{

Poller::Poller()
    : m_set{nullptr}
{
    if (auto *const dispatcher = dynamic_cast<EventDispatcher *>(QAbstractEventDispatcher::instance())) {
        m_set = &dispatcher->descriptors();
        return;
    }
    m_set = &m_ownSet.emplace();
    m_notifier.emplace(m_ownSet->descriptor(), QSocketNotifier::Read);
    QObject::connect(&*m_notifier, &QSocketNotifier::activated, &*m_notifier, [this] {
        m_ownSet->dispatch(0);
    });
}

Poller::~Poller()
{
    if (m_notifier.has_value()) {
        m_notifier->setEnabled(false);
    }
}

} // namespace egretlatch::net
