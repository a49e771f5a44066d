#ifndef EGRETLATCH_NET_DESCRIPTOR_SET_HPP
#define EGRETLATCH_NET_DESCRIPTOR_SET_HPP

#include <cstdint>
#include <functional>
#include <unordered_map>

namespace egretlatch::net
{

/*! @brief Events to watch a descriptor for; errors and hang-ups are always reported. */
struct Interest
{
    bool read{};
    bool write{};

    friend bool operator==(const Interest &, const Interest &) = default;
};

/*! @brief Set of descriptors in one epoll instance, each with a handler. Must be used from one thread. */
class DescriptorSet
{
public:
    /*! @brief Receives the epoll events of a descriptor; may remove any descriptor, including its own. */
    using Handler = std::function<void(std::uint32_t events)>;

    DescriptorSet();
    DescriptorSet(const DescriptorSet &) = delete;
    DescriptorSet &operator=(const DescriptorSet &) = delete;
    ~DescriptorSet();

    /**
     * @brief Starts watching a descriptor.
     * @param descriptor The descriptor; must be removed before it is closed.
     * @param interest Events to watch for.
     * @param handler Called when an event occurs.
     */
    void add(int descriptor, Interest interest, Handler handler);

    /**
     * @brief Changes the events that a descriptor is watched for.
     * @param descriptor A descriptor that was added.
     * @param interest Events to watch for.
     */
    void change(int descriptor, Interest interest);

    void remove(int descriptor);

    /**
     * @brief Stops watching a descriptor that is about to be closed; closing removes it from the epoll instance.
     * @param descriptor The descriptor; no other descriptor may refer to the same open file.
     */
    void removeClosing(int descriptor);

    /**
     * @brief Waits for events and calls the handlers of their descriptors.
     * @param waitMs Timeout in milliseconds; -1 waits indefinitely.
     * @return True if there was any event.
     */
    bool dispatch(int waitMs);

    /*! @brief Returns the epoll descriptor, which is readable while dispatch() has pending events. */
    [[nodiscard]] int descriptor() const noexcept
    {
        return m_epoll;
    }

private:
    struct Watched
    {
        std::uint64_t generation{};
        Handler handler;
    };

    int m_epoll;
    std::unordered_map<int, Watched> m_watched;
    std::uint64_t m_lastGeneration{};
};

} // namespace egretlatch::net

#endif
