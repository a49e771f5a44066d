#ifndef EGRETLATCH_NET_POLLER_HPP
#define EGRETLATCH_NET_POLLER_HPP

#include <optional>

#include <QSocketNotifier>

#include <egretlatch/net/descriptor_set.hpp>

namespace egretlatch::net
{

/**
 * @brief Watches many descriptors in Qt's event loop at the cost of one.
 *
 * Qt's own dispatcher passes all descriptors to the kernel in each iteration, so its cost grows with the open connections
 * instead of the active ones; with a Poller it watches a single epoll descriptor. On a thread with an EventDispatcher, the
 * descriptor set of the dispatcher is used. Must be used from one thread.
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
     * @brief Starts watching a descriptor.
     * @param descriptor The descriptor; must be removed before it is closed.
     * @param interest Events to watch for.
     * @param handler Called when an event occurs.
     * @param onFailure Ends the owner of the descriptor; called if the handler throws.
     */
    void add(int descriptor, Interest interest, Handler handler, DescriptorSet::FailureHandler onFailure = {})
    {
        m_set->add(descriptor, interest, std::move(handler), std::move(onFailure));
    }

    /**
     * @brief Sets who learns of exceptions that leave handlers.
     * @param reporter Receives the descriptor and the reason.
     */
    void setExceptionReporter(DescriptorSet::ExceptionReporter reporter)
    {
        m_set->setExceptionReporter(std::move(reporter));
    }

    /**
     * @brief Changes the events that a descriptor is watched for.
     * @param descriptor A descriptor that was added.
     * @param interest Events to watch for.
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
     * @brief Stops watching a descriptor that is about to be closed.
     * @param descriptor The descriptor; no other descriptor may refer to the same open file.
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
