#include <egretlatch/daemon/descriptor_waker.hpp>

#include <cstdint>

#include <sys/eventfd.h>
#include <unistd.h>

namespace egretlatch::daemon
{

DescriptorWaker::DescriptorWaker()
    : m_descriptor{eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)}
{
}

DescriptorWaker::~DescriptorWaker()
{
    close(m_descriptor);
}

void DescriptorWaker::wake()
{
    const std::uint64_t one = 1;
    // The write fails only if the counter is at its maximum, and then the descriptor is readable anyway.
    static_cast<void>(::write(m_descriptor, &one, sizeof one));
}

void DescriptorWaker::reset()
{
    std::uint64_t count = 0;
    static_cast<void>(::read(m_descriptor, &count, sizeof count));
}

} // namespace egretlatch::daemon
