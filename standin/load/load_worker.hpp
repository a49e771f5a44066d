#ifndef STANDIN_LOAD_LOAD_WORKER_HPP
#define STANDIN_LOAD_LOAD_WORKER_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <egretlatch/core/random_source.hpp>
#include <egretlatch/core/uuid.hpp>

#include <load/connection_pool.hpp>
#include <load/history_record.hpp>
#include <load/load_result.hpp>
#include <load/planned_request.hpp>
#include <load/request_kind.hpp>
#include <load/scenario.hpp>

namespace standin::load
{

/*! @brief What all workers of a run share; must outlive them. */
struct RunPlan
{
    std::vector<RequestKind> kinds;
    CallerBehaviour callers;
    std::vector<std::string> entries;
    egretlatch::SteadyTime start;
    bool keepsHistory{};
};

/*! @brief Plays the callers of a part of the schedule on one thread. */
class LoadWorker
{
public:
    /**
     * @brief Builds a worker.
     * @param plan What all workers share.
     * @param schedule Its part of the requests, earliest first.
     * @param seed Seed of its choices of entries, keys and waits.
     * @param number Makes the bodies of this worker unlike those of the others.
     */
    LoadWorker(const RunPlan &plan, Schedule schedule, std::uint64_t seed, int workerIndex);

    /*! @brief Sends all requests at their times and returns when the last has ended. */
    void run();

    [[nodiscard]] const LoadResult &result() const noexcept
    {
        return m_result;
    }

    [[nodiscard]] const std::vector<HistoryRecord> &history() const noexcept
    {
        return m_history;
    }

private:
    struct Request
    {
        std::size_t kind{};
        bool isCancelledByCaller{};
        std::string name;
        std::string key;
        std::string body;
        egretlatch::SteadyTime intended;
        int attempts{};
        std::chrono::duration<double, std::milli> resendAfter{};
    };

    using RequestPtr = std::shared_ptr<Request>;

    void scheduleNext();
    void sendDueRequests();
    void startRequest(const PlannedRequest &planned);
    void startAttempt(const RequestPtr &request);
    void requestKey(const RequestPtr &request);
    void sendCall(const RequestPtr &request);
    void handleReply(const RequestPtr &request, egretlatch::SteadyTime sentAt, const HttpReply &reply);
    void handleOutcome(const RequestPtr &request, egretlatch::SteadyTime sentAt, const AttemptOutcome &outcome, const HttpReply &reply);
    void recordAttempt(const Request &request, egretlatch::SteadyTime sentAt, const AttemptOutcome &outcome, int status);
    void scheduleResend(const RequestPtr &request, std::chrono::seconds retryAfter);
    void finishRequest(const Request &request, const AttemptOutcome &outcome);
    [[nodiscard]] bool needsKey(const Request &request) const;
    [[nodiscard]] ConnectionPool &randomEntry();
    [[nodiscard]] HttpRequest makeRequest(const Request &request, const std::string &authority) const;
    [[nodiscard]] std::string makeBody(const PlannedRequest &planned, const std::string &name) const;
    [[nodiscard]] std::int64_t secondOf(egretlatch::SteadyTime time) const;

    const RunPlan &m_plan;
    Schedule m_schedule;
    std::size_t m_nextRequest{};
    int m_workerIndex;
    std::uint64_t m_lastRequestNumber{};
    int m_openRequests{};
    egretlatch::SeededRandom m_random;
    egretlatch::UuidMint m_mint;
    boost::asio::io_context m_context;
    boost::asio::steady_timer m_timer;
    std::vector<std::unique_ptr<ConnectionPool>> m_pools;
    LoadResult m_result;
    std::vector<HistoryRecord> m_history;
};

} // namespace standin::load

#endif
