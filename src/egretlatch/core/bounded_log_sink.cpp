#include <egretlatch/core/bounded_log_sink.hpp>

#include <algorithm>

#include <poll.h>
#include <unistd.h>

namespace egretlatch
{

namespace internal
{

constexpr std::chrono::seconds rateSpan{1};
// A pipe that can be written to at all takes this many bytes without waiting (POSIX: PIPE_BUF).
constexpr std::size_t writtenAtOnce = 4096;
constexpr std::size_t flushedAbove = 16384;

[[nodiscard]] static bool isWritable(const int descriptor)
{
    pollfd item{.fd = descriptor, .events = POLLOUT, .revents = 0};
    return ::poll(&item, 1, 0) == 1 && (item.revents & POLLOUT) != 0;
}

} // namespace internal

BoundedLogSink::BoundedLogSink(const int descriptor, const Clock &clock, const LogBounds &bounds)
    : m_descriptor{descriptor}
    , m_clock{clock}
    , m_bounds{bounds}
    , m_lastTold{clock.steadyNow()}
{
}

BoundedLogSink::~BoundedLogSink()
{
    flush();
}

void BoundedLogSink::setOmissionLine(OmissionLine omissionLine)
{
    m_omissionLine = std::move(omissionLine);
}

void BoundedLogSink::write(const std::string_view event, const std::string &line)
{
    auto found = m_events.find(event);
    if (found == m_events.end()) {
        found = m_events.emplace(std::string{event}, Event{}).first;
    }
    Event &entry = found->second;
    const SteadyTime now = m_clock.steadyNow();
    if (now - entry.second >= internal::rateSpan) {
        entry.second = now;
        entry.lines = 0;
    }
    if (!hasRoom(entry, now, line.size())) {
        ++entry.omitted;
        ++m_omitted;
        return;
    }
    m_lines += entry.lines >= m_bounds.keptPerSecond ? 1 : 0;
    ++entry.lines;
    hold(line);
}

bool BoundedLogSink::hasRoom(const Event &event, const SteadyTime now, const std::size_t size)
{
    if (now - m_second >= internal::rateSpan) {
        m_second = now;
        m_lines = 0;
    }
    if (event.lines >= m_bounds.linesPerSecond || m_held.size() + size > m_bounds.heldBytes) {
        return false;
    }
    return event.lines < m_bounds.keptPerSecond || m_lines < m_bounds.allLinesPerSecond;
}

void BoundedLogSink::hold(const std::string &line)
{
    m_held += line;
    if (m_held.size() >= internal::flushedAbove) {
        flush();
    }
}

void BoundedLogSink::flush()
{
    tellOmissions();
    std::size_t written = 0;
    while (written < m_held.size() && internal::isWritable(m_descriptor)) {
        const std::size_t size = std::min(internal::writtenAtOnce, m_held.size() - written);
        const ssize_t count = ::write(m_descriptor, m_held.data() + written, size);
        if (count <= 0) {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    m_held.erase(0, written);
}

void BoundedLogSink::tellOmissions()
{
    const SteadyTime now = m_clock.steadyNow();
    if (now - m_lastTold < internal::rateSpan || !m_omissionLine) {
        return;
    }
    m_lastTold = now;
    for (auto &[name, event] : m_events) {
        if (event.omitted == 0 || m_held.size() >= m_bounds.heldBytes) {
            continue;
        }
        m_held += m_omissionLine(name, event.omitted);
        event.omitted = 0;
    }
}

} // namespace egretlatch
