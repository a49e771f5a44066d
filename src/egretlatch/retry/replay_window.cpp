#include <egretlatch/retry/replay_window.hpp>

#include <algorithm>

namespace egretlatch::retry
{

bool ReplayWindow::accept(const DaemonId &daemon, const Incarnation incarnation, const CallId call)
{
    Window &window = m_windows[daemon];
    if (incarnation < window.incarnation) {
        return false;
    }
    if (incarnation > window.incarnation) {
        window = Window{.incarnation = incarnation, .highest = call.value, .seen = {}};
    }
    if (call.value + size <= window.highest) {
        return false;
    }
    if (call.value > window.highest) {
        const std::uint64_t advance = std::min<std::uint64_t>(call.value - window.highest, size);
        for (std::uint64_t step = 1; step <= advance; ++step) {
            window.seen.reset((window.highest + step) % size);
        }
        window.highest = call.value;
    }
    const bool isFirst = !window.seen.test(call.value % size);
    window.seen.set(call.value % size);
    return isFirst;
}

} // namespace egretlatch::retry
