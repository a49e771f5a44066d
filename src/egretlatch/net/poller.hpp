#ifndef EGRETLATCH_NET_POLLER_HPP
#define EGRETLATCH_NET_POLLER_HPP

#include <optional>

#include <QSocketNotifier>

#include <egretlatch/net/descriptor_set.hpp>

namespace egretlatch::net
{

/**
 * @brief Watches many descriptors within Qt's event loop, at the cost of one.
 *
 * Qt's own dispatcher hands all descriptors to the kernel with each turn, so its cost grows with the connections that are
 * open, not with those that have something to say; it watches one descriptor in their place. On a thread that has an
 * EventDispatcher, the descriptors are that one's own. Lives on one thread.
 */
class Poller
{
public:
    using Interest = net::Interest;
    using Handler = DescriptorSet::Handler;

    Poller();
    Poller(const Poller &) = delete;
    Poller &operator=(const Poller &) = delete;
    ~Poller();

    /**
     * @brief Watches a descriptor from now on.
     * @param descriptor The descriptor; must be removed before it is closed.
     * @param interest What to watch for.
     * @param handler Called when something happened.
     */
    void add(int descriptor, Interest interest, Handler handler)
    {
        m_set->add(descriptor, interest, std::move(handler));
    }

    /**
     * @brief Changes what a descriptor is watched for.
     * @param descriptor A descriptor that was added.
     * @param interest What to watch for.
     */
    void change(int descriptor, Interest interest)
    {
        m_set->change(descriptor, interest);
    }

    void remove(int descriptor)
    {
        m_set->remove(descriptor);
    }

    /**
     * @brief Watches a descriptor no more that is closed next.
     * @param descriptor The descriptor; no other descriptor may name the same open file.
     */
    void removeClosing(int descriptor)
    {
        m_set->removeClosing(descriptor);
    }

private:
    DescriptorSet *m_set;
    std::optional<DescriptorSet> m_ownSet;
    std::optional<QSocketNotifier> m_notifier;
};

} // namespace egretlatch::net

#endif
