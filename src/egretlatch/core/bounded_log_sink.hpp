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

/*! @brief How much a BoundedLogSink takes. */
struct LogBounds
{
    /*! @brief Lines of one event in a second. A hundred tell what goes on; more cost the processor time of the requests. */
    int linesPerSecond{100};
    /**
     * @brief Lines of all events together in a second, those that are kept for each event aside.
     *
     * With the lines kept, those that tell of lines left out, and some twenty events, a daemon stays below two hundred
     * lines a second, as the users ask, whatever its load.
     */
    int totalLinesPerSecond{120};
    /*! @brief Lines of an event in a second that no other event can crowd out: a lost dependency is told of in an overload. */
    int reservedLinesPerSecond{3};
    /*! @brief Bytes that wait for a reader that does not read. */
    std::size_t maxBufferedBytes{262'144};

    friend bool operator==(const LogBounds &, const LogBounds &) = default;
};

/**
 * @brief Collects lines and writes them together, without ever waiting for whoever reads them.
 *
 * Guards against the load of logging under the load that is logged, and against a reader that stands still: a blocking
 * write to a full pipe would stop all requests of the process. What is left out is counted and said in a line of its own.
 * Not safe to use from several threads.
 */
class BoundedLogSink final : public LogSink
{
public:
    /*! @brief Makes the line that says how many lines of an event were left out. */
    using OmissionLine = std::function<std::string(const std::string &event, std::uint64_t count)>;

    /**
     * @brief Builds a sink.
     * @param descriptor Where the lines go; stays open and is not closed.
     * @param clock Source of time; must outlive the sink.
     * @param bounds How much it takes.
     */
    BoundedLogSink(int descriptor, const Clock &clock, const LogBounds &bounds = {});

    /*! @brief Writes what it can without waiting. */
    ~BoundedLogSink() override;

    /**
     * @brief Sets how omissions are told of; without it they are only counted.
     * @param omissionLine Makes the line.
     */
    void setOmissionLine(OmissionLine omissionLine);

    void write(std::string_view event, const std::string &line) override;

    /*! @brief Writes what is held, as far as the reader takes it; to be called a few times a second. */
    void flush();

    /*! @brief Lines left out since the start. */
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
    /*! @brief The second that all events are counted in, and their lines in it beyond those kept for each. */
    SteadyTime m_windowStart;
    int m_unreservedLines{};
    std::string m_buffer;
    std::uint64_t m_omitted{};
    SteadyTime m_lastReport;
};

} // namespace egretlatch

#endif
