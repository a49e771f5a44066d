#ifndef EGRETLATCH_NET_DESCRIPTOR_SET_HPP
#define EGRETLATCH_NET_DESCRIPTOR_SET_HPP

#include <cstdint>
#include <functional>
#include <string_view>
#include <unordered_map>

namespace egretlatch::net
{

/*! @brief Events to watch a descriptor for; errors and hang-ups are always reported. */
struct Interest
{
    bool read{};
    bool write{};
    /*! @brief Watch for the peer's orderly end; a reset is always reported. */
    bool end{true};

    friend bool operator==(const Interest &, const Interest &) = default;
};

/*! @brief Set of descriptors in one epoll instance, each with a handler. Must be used from one thread. */
class DescriptorSet
{
public:
    /*! @brief Receives the epoll events of a descriptor; may remove any descriptor, including its own. */
    using Handler = std::function<void(std::uint32_t events)>;
    /*! @brief Ends the owner of a descriptor whose handler has thrown. */
    using FailureHandler = std::function<void()>;
    /*! @brief Receives the descriptor and the text of an exception that left a handler. */
    using ExceptionReporter = std::function<void(int descriptor, std::string_view reason)>;

    DescriptorSet();
    DescriptorSet(const DescriptorSet &) = delete;
    DescriptorSet &operator=(const DescriptorSet &) = delete;
    ~DescriptorSet();

    /**
     * @brief Starts watching a descriptor.
     * @param descriptor The descriptor; must be removed before it is closed.
     * @param interest Events to watch for.
     * @param handler Called when an event occurs.
     * @param onFailure Called if the handler throws and has not removed the descriptor; without it, watching goes on.
     */
    void add(int descriptor, Interest interest, Handler handler, FailureHandler onFailure = {});

    /**
     * @brief Sets who learns of exceptions that leave handlers; they end the owner of the descriptor, not the process.
     * @param reporter Receives each of them, before the owner is ended.
     */
    void setExceptionReporter(ExceptionReporter reporter)
    {
        m_reporter = std::move(reporter);
    }

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
        FailureHandler onFailure;
    };

    void call(int descriptor, std::uint64_t generation, const Handler &handler, std::uint32_t events);
    void endOwner(int descriptor, std::uint64_t generation, std::string_view reason);

    int m_epoll;
    std::unordered_map<int, Watched> m_watched;
    std::uint64_t m_lastGeneration{};
    ExceptionReporter m_reporter;
};

} // namespace egretlatch::net

#endif
