#ifndef EGRETLATCH_NET_DESCRIPTOR_SET_HPP
#define EGRETLATCH_NET_DESCRIPTOR_SET_HPP

#include <cstdint>
#include <functional>
#include <unordered_map>

namespace egretlatch::net
{

/*! @brief What a descriptor is to be watched for; errors and hang-ups are always told. */
struct Interest
{
    bool read{};
    bool write{};

    friend bool operator==(const Interest &, const Interest &) = default;
};

/*! @brief Descriptors that the kernel watches together, each with what is to be called. Lives on one thread. */
class DescriptorSet
{
public:
    /*! @brief Takes the epoll events of a descriptor; may remove any descriptor, its own too. */
    using Handler = std::function<void(std::uint32_t events)>;

    DescriptorSet();
    DescriptorSet(const DescriptorSet &) = delete;
    DescriptorSet &operator=(const DescriptorSet &) = delete;
    ~DescriptorSet();

    /**
     * @brief Watches a descriptor from now on.
     * @param descriptor The descriptor; must be removed before it is closed.
     * @param interest What to watch for.
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

    /**
     * @brief Watches a descriptor no more that is closed next, which takes it out of the kernel's set by itself.
     * @param descriptor The descriptor; no other descriptor may name the same open file.
     */
    void removeClosing(int descriptor);

    /**
     * @brief Calls the handlers of the descriptors on which something happened.
     * @param waitMs Milliseconds to wait for something to happen; -1 for as long as it takes.
     * @return Whether something happened.
     */
    bool dispatch(int waitMs);

    /*! @brief Readable when dispatch() has something to do. */
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
