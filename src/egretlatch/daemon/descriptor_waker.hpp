#ifndef EGRETLATCH_DAEMON_DESCRIPTOR_WAKER_HPP
#define EGRETLATCH_DAEMON_DESCRIPTOR_WAKER_HPP

#include <egretlatch/core/waker.hpp>

namespace egretlatch::daemon
{

/*! @brief Wakes a thread that polls sockets, by a file descriptor that it polls too. */
class DescriptorWaker final : public Waker
{
public:
    DescriptorWaker();
    DescriptorWaker(const DescriptorWaker &) = delete;
    DescriptorWaker &operator=(const DescriptorWaker &) = delete;
    ~DescriptorWaker() override;

    void wake() override;

    /*! @brief Forgets the wakes so far; called by the polling thread. */
    void reset();

    [[nodiscard]] int descriptor() const noexcept
    {
        return m_descriptor;
    }

private:
    int m_descriptor;
};

} // namespace egretlatch::daemon

#endif
