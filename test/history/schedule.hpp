#ifndef TEST_HISTORY_SCHEDULE_HPP
#define TEST_HISTORY_SCHEDULE_HPP

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include <egretlatch/core/random_source.hpp>
#include <egretlatch/decision/core.hpp>
#include <fakes/counting_metrics.hpp>
#include <fakes/in_memory_table.hpp>
#include <fakes/manual_clock.hpp>
#include <history/history.hpp>

namespace history
{

/*! @brief Fault rates and counts of a schedule, drawn from the seed. */
struct Faults
{
    double loss{};
    double duplication{};
    /*! @brief Share of messages that are delayed, by 100 ms to 5 s. */
    double delayed{};
    int pauses{};
    int crashes{};
    /*! @brief Share of the runs whose connection is lost. */
    double lostRuns{};
    /*! @brief Share of the requests that the backend server refuses before it starts them. */
    double rejects{};
    int drains{};
    /*! @brief Share of the calls that the sender's transport does not accept. */
    double sendFailures{};
    /*! @brief Share of the platform's answers that are lost, after the write took effect or before it does. */
    double lostPlatformAnswers{};
    int outages{};
    int shutdowns{};
};

/**
 * @brief One seeded run of several decision cores.
 *
 * Everything outside the cores is faked: time, the messages between them, backend servers and callers. The same seed
 * gives the same history.
 */
class Schedule
{
public:
    /**
     * @brief Draws a schedule.
     * @param seed Determines the whole schedule.
     */
    explicit Schedule(std::uint64_t seed);

    /**
     * @brief Runs the schedule to its end.
     * @return The observed events.
     */
    [[nodiscard]] const History &run();

private:
    using Time = egretlatch::SteadyTime;
    using Duration = egretlatch::Duration;
    using Step = std::function<void()>;

    struct Node
    {
        egretlatch::DaemonId id;
        std::string service;
        egretlatch::Incarnation incarnation;
        std::unique_ptr<egretlatch::SeededRandom> random;
        std::unique_ptr<egretlatch::decision::Core> core;
        Time pausedUntil{};
        /*! @brief Instance name of the node's backend server. */
        std::string instance;
        /*! @brief Number of boots; events planned for one generation do not reach the next. */
        int generation{};
    };

    struct Caller
    {
        int number{};
        std::string service;
        std::string kind;
        bool idempotent{};
        std::string key;
        int sends{};
        /*! @brief Set if the caller mints its keys itself, from its own clock. */
        bool mintsOwnKeys{};
        int open{-1};
        bool isDone{};
    };

    struct Run
    {
        std::size_t node{};
        int generation{};
        egretlatch::ExecutionId execution;
        egretlatch::decision::RunRequest request;
        std::string logicalId;
        std::string answer;
        std::size_t nextCall{};
        bool isLost{};
    };

    using RunPtr = std::shared_ptr<Run>;

    struct Planned
    {
        Time at;
        std::uint64_t order{};
        Step step;

        [[nodiscard]] bool operator>(const Planned &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void plan(Duration wait, Step step);
    void boot(std::size_t index);
    void announce(std::size_t index);
    void repeatAnnouncement(std::size_t index, int generation, const std::string &instance);
    void crash(std::size_t index);
    void planFaults();
    void handleEvent(std::size_t index, egretlatch::decision::Event event);
    void planTick(std::size_t index, int generation);
    void execute(std::size_t index, egretlatch::decision::Action &action);
    void transmit(std::size_t from, const egretlatch::decision::SendToPeer &send);
    void deliver(std::size_t to, const egretlatch::protocol::Envelope &envelope);
    void queryTable(std::size_t index, const egretlatch::decision::SendToPlatform &toPlatform);
    void startRun(std::size_t index, const egretlatch::decision::StartRun &start);
    void stepRun(const RunPtr &run);
    void endRun(const RunPtr &run);
    void handleAnswer(std::size_t index, const egretlatch::decision::AnswerCaller &answer);
    void requestKey(std::size_t caller);
    void send(std::size_t caller);
    void handleCallerAnswer(std::size_t caller, int exchange, const egretlatch::decision::CallerAnswer &answer);
    void resendOrStop(std::size_t caller, double share);
    [[nodiscard]] std::size_t anyNode();
    [[nodiscard]] Duration between(int minMs, int maxMs);

    egretlatch::SeededRandom m_random;
    fakes::ManualClock m_clock;
    fakes::CountingMetrics m_metrics;
    fakes::InMemoryTable m_table;
    Time m_tableDownUntil{};
    std::shared_ptr<const egretlatch::manifest::Manifest> m_manifest;
    Faults m_faults;
    std::vector<Node> m_nodes;
    std::vector<Caller> m_callers;
    std::priority_queue<Planned, std::vector<Planned>, std::greater<>> m_plan;
    std::size_t m_ledgerEntries{};
    std::uint64_t m_order{};
    std::uint64_t m_incarnations{};
    int m_exchanges{};
    int m_runs{};
    int m_servers{};
    bool m_isFaultFree{true};
    std::map<int, std::size_t> m_callerOf;
    std::map<int, RunPtr> m_innerOf;
    std::map<int, std::size_t> m_entryOf;
    std::map<int, std::size_t> m_keyRequestOf;
    History m_history;
};

/**
 * @brief Returns the manifest that all schedules use.
 * @return Two services; a launch entry and an idempotent statement both append to the archive.
 */
[[nodiscard]] std::shared_ptr<const egretlatch::manifest::Manifest> scheduleManifest();

} // namespace history

#endif
