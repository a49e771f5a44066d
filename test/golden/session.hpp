#ifndef TEST_GOLDEN_SESSION_HPP
#define TEST_GOLDEN_SESSION_HPP

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <fakes/counting_metrics.hpp>
#include <fakes/manual_clock.hpp>

#include <egretlatch/decision/core.hpp>

namespace golden
{

/**
 * @brief Simulates callers, an entry daemon and two daemons with backend servers of `launch-log`, and records what the callers
 * see.
 *
 * Decisions, key handling and answers are those of the real daemons. Messages between daemons arrive at once, runs end when
 * the test ends them, and the clock and the seeds are fixed, so that the same steps give the same text.
 */
class Session
{
public:
    /**
     * @brief Starts a session.
     * @param summary Short description of the scenario; printed at the head of the text.
     */
    explicit Session(const std::string &summary);

    /**
     * @brief Mints a key at the entry daemon on behalf of a caller.
     * @param kind Kind of `launch-log`.
     * @return The key.
     */
    [[nodiscard]] std::string mintKey(const std::string &kind);

    /**
     * @brief Sends a request from a caller to the entry daemon.
     * @param caller Name of the caller, which has at most one open exchange at a time.
     * @param target `service/kind`.
     * @param key Value of `Idempotency-Key`; empty for none.
     * @param body Body of the request.
     */
    void call(const std::string &caller, const std::string &target, const std::string &key, const std::string &body);

    /**
     * @brief Closes the connection of a caller.
     * @param caller Name of the caller.
     */
    void closeConnection(const std::string &caller);

    /**
     * @brief Ends the oldest run at any backend server.
     * @param result Its answer, or the failure that ended it without one.
     */
    void endOldestRun(const std::variant<egretlatch::decision::RunAnswer, egretlatch::decision::RunFailure> &result);

    /**
     * @brief Ends the oldest run with an answer.
     * @param status HTTP status.
     * @param body Body of the answer.
     */
    void answerOldestRun(int status, const std::string &body);

    /**
     * @brief Starts to drain the backend servers of all daemons.
     */
    void drainServers();

    /**
     * @brief Advances the clock in ticks.
     * @param span Time to advance.
     */
    void wait(std::chrono::milliseconds span);

    /**
     * @brief Returns the key that the last refusal gave for a resend.
     * @return The key; empty if there was none.
     */
    [[nodiscard]] const std::string &nextKey() const noexcept
    {
        return m_nextKey;
    }

    [[nodiscard]] std::size_t runs() const noexcept
    {
        return m_runs.size();
    }

    [[nodiscard]] const std::string &text() const noexcept
    {
        return m_text;
    }

private:
    struct Node
    {
        explicit Node(std::uint64_t seed);

        egretlatch::SeededRandom random;
        std::unique_ptr<egretlatch::decision::Core> core;
    };

    struct Run
    {
        std::string daemon;
        egretlatch::decision::StartRun start;
    };

    void addNode(const std::string &name, std::uint64_t incarnation);
    void handle(const std::string &daemon, const egretlatch::decision::Event &event);
    void deliver();
    void execute(const std::string &daemon, const egretlatch::decision::Action &action);
    void writeAnswer(const egretlatch::decision::AnswerCaller &answer);
    void writeTimestamp(const std::string &who);
    void writeHeaders(const char *prefix, const egretlatch::Headers &headers);

    struct QueuedEvent
    {
        std::string to;
        egretlatch::decision::Event event;
    };

    fakes::ManualClock m_clock;
    fakes::CountingMetrics m_metrics;
    egretlatch::SteadyTime m_start;
    std::map<std::string, std::unique_ptr<Node>> m_nodes;
    std::map<std::string, std::uint64_t> m_incarnations;
    std::deque<QueuedEvent> m_eventQueue;
    std::deque<Run> m_runs;
    std::map<std::uint64_t, std::string> m_callers;
    std::uint64_t m_lastExchange{};
    std::string m_lastBody;
    std::string m_nextKey;
    std::string m_text;
};

/**
 * @brief Compares a session's text with test/golden/NAME.txt, byte for byte.
 *
 * If EGRETLATCH_WRITE_GOLDEN is set, writes the file instead of comparing it; scripts/make-golden uses this.
 * @param name Name of the file.
 * @param text Text of the session.
 */
void checkGolden(const std::string &name, const std::string &text);

} // namespace golden

#endif
