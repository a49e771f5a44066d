#ifndef EGRETLATCH_CORE_BOUNDED_LOG_SINK_HPP
#define EGRETLATCH_CORE_BOUNDED_LOG_SINK_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/log_sink.hpp>

namespace egretlatch
{

/*! @brief Volume limits of a BoundedLogSink. */
struct LogBounds
{
    /*! @brief Maximum lines per second of one event. A hundred show what is going on; more take CPU time from requests. */
    int linesPerSecond{100};
    /**
     * @brief Maximum lines per second of all events together, not counting the lines reserved for each event.
     *
     * Together with the reserved lines, the omission lines and some twenty events, a daemon stays below its required
     * limit of two hundred lines per second, whatever its load.
     */
    int totalLinesPerSecond{120};
    /*! @brief Lines per second reserved for each event, so that a lost dependency is still logged during an overload. */
    int reservedLinesPerSecond{3};
    /*! @brief Maximum bytes buffered while the reader of the log does not read. */
    std::size_t maxBufferedBytes{262'144};

    friend bool operator==(const LogBounds &, const LogBounds &) = default;
};

/**
 * @brief Buffers lines and writes them in batches, without ever blocking on the reader.
 *
 * Limits the cost of logging under overload, and tolerates a reader that has stalled: a blocking write to a full pipe would
 * stop all requests of the process. Omitted lines are counted, and the count is logged in a line of its own. Not
 * thread-safe.
 */
class BoundedLogSink final : public LogSink
{
public:
    /*! @brief Builds the line that reports how many lines of an event were omitted. */
    using OmissionLine = std::function<std::string(const std::string &event, std::uint64_t count)>;

    /**
     * @brief Constructs a sink with an empty buffer.
     * @param descriptor File descriptor that the lines are written to; must stay open, and is not closed by the sink.
     * @param clock Source of time; must outlive the sink.
     * @param bounds Volume limits.
     */
    BoundedLogSink(int descriptor, const Clock &clock, const LogBounds &bounds = {});

    /*! @brief Writes as much of the buffer as it can without blocking. */
    ~BoundedLogSink() override;

    /**
     * @brief Sets how omissions are reported; without it they are only counted.
     * @param omissionLine Builds the line.
     */
    void setOmissionLine(OmissionLine omissionLine);

    void write(std::string_view event, const std::string &line) override;

    /*! @brief Writes as much of the buffer as the reader accepts; call it a few times per second. */
    void flush();

    /*! @brief Returns the number of lines omitted since construction. */
    [[nodiscard]] std::uint64_t omitted() const noexcept
    {
        return m_omitted;
    }

private:
    struct Event
    {
        SteadyTime windowStart;
        int lines{};
        std::uint64_t omitted{};
    };

    [[nodiscard]] bool hasRoom(const Event &event, SteadyTime now, std::size_t size);
    void append(const std::string &line);
    void reportOmissions();

    int m_descriptor;
    const Clock &m_clock;
    LogBounds m_bounds;
    OmissionLine m_omissionLine;
    std::map<std::string, Event, std::less<>> m_events;
    /*! @brief Start of the one-second window that all events share; m_unreservedLines counts the lines in it beyond the reserved ones. */
    SteadyTime m_windowStart;
    int m_unreservedLines{};
    std::string m_buffer;
    std::uint64_t m_omitted{};
    SteadyTime m_lastReport;
};

} // namespace egretlatch

#endif
