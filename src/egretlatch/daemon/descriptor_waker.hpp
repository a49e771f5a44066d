#ifndef EGRETLATCH_DAEMON_DESCRIPTOR_WAKER_HPP
#define EGRETLATCH_DAEMON_DESCRIPTOR_WAKER_HPP

#include <egretlatch/core/waker.hpp>

namespace egretlatch::daemon
{

/*! @brief Wakes a thread that polls sockets, through an eventfd that it polls as well. */
class DescriptorWaker final : public Waker
{
public:
    DescriptorWaker();
    DescriptorWaker(const DescriptorWaker &) = delete;
    DescriptorWaker &operator=(const DescriptorWaker &) = delete;
    ~DescriptorWaker() override;

    void wake() override;

    /*! @brief Clears the wakes so far; must be called by the polling thread. */
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
