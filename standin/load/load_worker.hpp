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

/*! @brief Parameters shared by all workers of a run; must outlive them. */
struct RunPlan
{
    std::vector<RequestKind> kinds;
    CallerBehaviour callers;
    /*! @brief Base URLs of the daemons; each attempt goes to a random one. */
    std::vector<std::string> entries;
    egretlatch::SteadyTime start;
    /*! @brief Records every attempt for LoadWorker::history(). */
    bool keepsHistory{};
};

/*! @brief Sends a part of the schedule on one thread, as open-loop load: a slow answer does not delay later requests. */
class LoadWorker
{
public:
    /**
     * @brief Constructs a worker.
     * @param plan Parameters shared by all workers; must outlive the worker.
     * @param schedule Requests of this worker, sorted by time.
     * @param seed Seed for the choice of entries, the keys and the jitter of resends.
     * @param workerIndex Index of the worker, which makes its request names and bodies distinct from those of other workers.
     */
    LoadWorker(const RunPlan &plan, Schedule schedule, std::uint64_t seed, int workerIndex);

    /*! @brief Sends all requests at their scheduled times and returns when the last one has ended; blocks the calling thread. */
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
    egretlatch::UuidGenerator m_uuidGenerator;
    boost::asio::io_context m_context;
    boost::asio::steady_timer m_timer;
    std::vector<std::unique_ptr<ConnectionPool>> m_pools;
    LoadResult m_result;
    std::vector<HistoryRecord> m_history;
};

} // namespace standin::load

#endif
