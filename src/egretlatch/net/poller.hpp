#ifndef EGRETLATCH_NET_POLLER_HPP
#define EGRETLATCH_NET_POLLER_HPP

#include <cstdint>
#include <functional>
#include <unordered_map>

#include <QSocketNotifier>

namespace egretlatch::net
{

/**
 * @brief Watches many descriptors within Qt's event loop, at the cost of one.
 *
 * Qt's dispatcher hands all descriptors to the kernel with each turn, so its cost grows with the connections that are
 * open, not with those that have something to say. Here Qt watches one epoll descriptor. Lives on one thread.
 */
class Poller
{
public:
    /*! @brief What is to be watched for. */
    struct Interest
    {
        bool read{};
        bool write{};
    };

    /*! @brief Takes the epoll events of a descriptor; may remove any descriptor, its own too. */
    using Handler = std::function<void(std::uint32_t events)>;

    Poller();
    Poller(const Poller &) = delete;
    Poller &operator=(const Poller &) = delete;
    ~Poller();

    /**
     * @brief Watches a descriptor from now on.
     * @param descriptor The descriptor; must be removed before it is closed.
     * @param interest What to watch for; errors and hang-ups are always told.
     * @param handler Called when something happened.
     */
    void add(int descriptor, Interest interest, Handler handler);

    /**
     * @brief Changes what a descriptor is watched for.
     * @param descriptor A descriptor that was added.
     * @param interest What to watch for.
     */
    void change(int descriptor, Interest interest);

    void remove(int descriptor);

private:
    void dispatch();

    struct Watched
    {
        std::uint64_t number{};
        Handler handler;
    };

    int m_epoll;
    QSocketNotifier m_notifier;
    std::unordered_map<int, Watched> m_watched;
    std::uint64_t m_lastNumber{};
};

} // namespace egretlatch::net

#endif
