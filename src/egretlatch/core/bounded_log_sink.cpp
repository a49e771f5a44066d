#include <egretlatch/core/bounded_log_sink.hpp>

#include <algorithm>

#include <poll.h>
#include <unistd.h>

namespace egretlatch
{

namespace internal
{

constexpr std::chrono::seconds rateWindow{1};
// POSIX (PIPE_BUF): a pipe that polls as writable accepts this many bytes without blocking.
constexpr std::size_t pipeBufBytes = 4096;
constexpr std::size_t flushThreshold = 16384;

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
    , m_lastReport{clock.steadyNow()}
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
    if (now - entry.windowStart >= internal::rateWindow) {
        entry.windowStart = now;
        entry.lines = 0;
    }
    if (!hasRoom(entry, now, line.size())) {
        ++entry.omitted;
        ++m_omitted;
        return;
    }
    m_unreservedLines += entry.lines >= m_bounds.reservedLinesPerSecond ? 1 : 0;
    ++entry.lines;
    append(line);
}

bool BoundedLogSink::hasRoom(const Event &event, const SteadyTime now, const std::size_t size)
{
    if (now - m_windowStart >= internal::rateWindow) {
        m_windowStart = now;
        m_unreservedLines = 0;
    }
    if (event.lines >= m_bounds.linesPerSecond || m_buffer.size() + size > m_bounds.maxBufferedBytes) {
        return false;
    }
    return event.lines < m_bounds.reservedLinesPerSecond || m_unreservedLines < m_bounds.totalLinesPerSecond;
}

void BoundedLogSink::append(const std::string &line)
{
    m_buffer += line;
    if (m_buffer.size() >= internal::flushThreshold) {
        flush();
    }
}

void BoundedLogSink::flush()
{
    reportOmissions();
    std::size_t written = 0;
    while (written < m_buffer.size() && internal::isWritable(m_descriptor)) {
        const std::size_t size = std::min(internal::pipeBufBytes, m_buffer.size() - written);
        const ssize_t count = ::write(m_descriptor, m_buffer.data() + written, size);
        if (count <= 0) {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    m_buffer.erase(0, written);
}

void BoundedLogSink::reportOmissions()
{
    const SteadyTime now = m_clock.steadyNow();
    if (now - m_lastReport < internal::rateWindow || !m_omissionLine) {
        return;
    }
    m_lastReport = now;
    for (auto &[name, event] : m_events) {
        if (event.omitted == 0 || m_buffer.size() >= m_bounds.maxBufferedBytes) {
            continue;
        }
        m_buffer += m_omissionLine(name, event.omitted);
        event.omitted = 0;
    }
}

} // namespace egretlatch
