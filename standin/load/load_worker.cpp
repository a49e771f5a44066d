#include <load/load_worker.hpp>

#include <algorithm>

#include <fmt/format.h>

#include <egretlatch/daemon/http_headers.hpp>

namespace standin::load
{

namespace internal
{

/*! @brief Time beyond the timeout that a caller waits, in which it can still receive the answer that its deadline has passed. */
constexpr std::chrono::milliseconds timeoutGrace{250};
/*! @brief Maximum number of open requests per worker; more would exhaust the local ports before giving a useful measurement. */
constexpr int maxOpenRequests = 6'000;
constexpr double minJitterFactor = 0.8;
constexpr double jitterRange = 0.4;
constexpr unsigned httpVersion = 11;

} // namespace internal

LoadWorker::LoadWorker(const RunPlan &plan, Schedule schedule, const std::uint64_t seed, const int workerIndex)
    : m_plan{plan}
    , m_schedule{std::move(schedule)}
    , m_workerIndex{workerIndex}
    , m_random{seed}
    , m_uuidGenerator{m_random}
    , m_context{1}
    , m_timer{m_context}
{
    for (const std::string &entry : m_plan.entries) {
        m_pools.push_back(std::make_unique<ConnectionPool>(m_context, entry));
    }
    m_result.kinds.resize(m_plan.kinds.size());
}

void LoadWorker::run()
{
    scheduleNext();
    m_context.run();
}

void LoadWorker::scheduleNext()
{
    if (m_nextRequest >= m_schedule.size()) {
        return;
    }
    m_timer.expires_at(m_plan.start + m_schedule[m_nextRequest].at);
    m_timer.async_wait([this](const boost::system::error_code error) {
        if (!error) {
            sendDueRequests();
        }
    });
}

void LoadWorker::sendDueRequests()
{
    const egretlatch::SteadyTime now = std::chrono::steady_clock::now();
    while (m_nextRequest < m_schedule.size() && m_plan.start + m_schedule[m_nextRequest].at <= now) {
        startRequest(m_schedule[m_nextRequest]);
        ++m_nextRequest;
    }
    scheduleNext();
}

void LoadWorker::startRequest(const PlannedRequest &planned)
{
    if (m_openRequests >= internal::maxOpenRequests) {
        ++m_result.skippedRequests;
        return;
    }
    ++m_openRequests;
    const RequestKind &kind = m_plan.kinds[planned.kind];
    const auto request = std::make_shared<Request>();
    request->kind = planned.kind;
    request->isCancelledByCaller = planned.isCancelledByCaller;
    request->name = fmt::format("{}-{}", m_workerIndex, ++m_lastRequestNumber);
    if (!kind.idempotent && m_plan.callers.keys == KeySource::caller) {
        request->key = m_uuidGenerator.generate(std::chrono::system_clock::now()).toString();
    }
    request->body = makeBody(planned, request->name);
    request->intended = m_plan.start + planned.at;
    request->resendAfter = m_plan.callers.resendAfter;
    KindResult &result = m_result.kinds[planned.kind];
    ++result.sent;
    result.sentBySecond.add(secondOf(request->intended));
    m_result.sendLag.add(std::chrono::steady_clock::now() - request->intended);
    startAttempt(request);
}

void LoadWorker::startAttempt(const RequestPtr &request)
{
    ++request->attempts;
    ++m_result.kinds[request->kind].attempts;
    m_result.attemptsBySecond.add(secondOf(std::chrono::steady_clock::now()));
    if (needsKey(*request)) {
        requestKey(request);
        return;
    }
    sendCall(request);
}

void LoadWorker::requestKey(const RequestPtr &request)
{
    const egretlatch::SteadyTime now = std::chrono::steady_clock::now();
    ConnectionPool &pool = randomEntry();
    HttpRequest http{boost::beast::http::verb::post, fmt::format("/keys/{}", m_plan.kinds[request->kind].name), internal::httpVersion};
    http.set(boost::beast::http::field::host, pool.authority());
    http.prepare_payload();
    pool.exchange(std::move(http), m_plan.kinds[request->kind].timeout, [this, request, now](const HttpReply &reply) {
        request->key = parseMintedKey(reply);
        if (!request->key.empty()) {
            sendCall(request);
            return;
        }
        // The call is only sent with a key, so nothing can have run and the attempt counts as refused.
        handleOutcome(request, now, {.outcomeClass = OutcomeClass::refused, .cause = "no-key"}, reply);
    });
}

void LoadWorker::sendCall(const RequestPtr &request)
{
    const egretlatch::SteadyTime now = std::chrono::steady_clock::now();
    ConnectionPool &pool = randomEntry();
    const std::chrono::milliseconds timeout =
        request->isCancelledByCaller ? m_plan.callers.cancelAfter : m_plan.kinds[request->kind].timeout + internal::timeoutGrace;
    pool.exchange(makeRequest(*request, pool.authority()), timeout, [this, request, now](const HttpReply &reply) {
        handleReply(request, now, reply);
    });
}

void LoadWorker::handleReply(const RequestPtr &request, const egretlatch::SteadyTime sentAt, const HttpReply &reply)
{
    AttemptOutcome outcome = classifyReply(reply, request->body);
    if (request->isCancelledByCaller && reply.transport == TransportResult::timedOut) {
        outcome = {.outcomeClass = OutcomeClass::cancelled, .cause = "cancelled-by-caller"};
    }
    handleOutcome(request, sentAt, outcome, reply);
}

void LoadWorker::handleOutcome(const RequestPtr &request, const egretlatch::SteadyTime sentAt, const AttemptOutcome &outcome, const HttpReply &reply)
{
    recordAttempt(*request, sentAt, outcome, reply.status);
    const bool isFinal = outcome.outcomeClass == OutcomeClass::completed || outcome.outcomeClass == OutcomeClass::cancelled;
    if (!isFinal && request->attempts <= m_plan.callers.resends) {
        if (!reply.nextKey.empty()) {
            request->key = reply.nextKey;
        }
        scheduleResend(request, reply.retryAfter);
        return;
    }
    finishRequest(*request, outcome);
}

void LoadWorker::recordAttempt(const Request &request, const egretlatch::SteadyTime sentAt, const AttemptOutcome &outcome, const int status)
{
    const egretlatch::SteadyTime now = std::chrono::steady_clock::now();
    if (outcome.outcomeClass != OutcomeClass::completed) {
        ++m_result.kinds[request.kind].attemptCauses[outcome.cause];
        m_result.causesBySecond[outcome.cause].add(secondOf(now));
    }
    if (m_plan.keepsHistory) {
        m_history.push_back({.kind = request.kind,
                             .request = request.name,
                             .key = request.key,
                             .attempt = request.attempts,
                             .sent = sentAt - m_plan.start,
                             .ended = now - m_plan.start,
                             .status = status,
                             .outcome = outcome});
    }
}

void LoadWorker::scheduleResend(const RequestPtr &request, const std::chrono::seconds retryAfter)
{
    std::chrono::duration<double, std::milli> wait = request->resendAfter * (internal::minJitterFactor + internal::jitterRange * m_random.fraction());
    request->resendAfter *= m_plan.callers.backoff;
    if (m_plan.callers.honoursRetryAfter) {
        wait = std::max<std::chrono::duration<double, std::milli>>(wait, retryAfter);
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, std::chrono::duration_cast<egretlatch::Duration>(wait));
    timer->async_wait([this, request, timer](const boost::system::error_code error) {
        if (!error) {
            startAttempt(request);
        }
    });
}

void LoadWorker::finishRequest(const Request &request, const AttemptOutcome &outcome)
{
    --m_openRequests;
    const egretlatch::SteadyTime now = std::chrono::steady_clock::now();
    KindResult &result = m_result.kinds[request.kind];
    ++result.requests[outcome.outcomeClass][outcome.cause];
    if (outcome.outcomeClass == OutcomeClass::completed) {
        result.latency.add(now - request.intended);
        result.completedBySecond.add(secondOf(now));
    }
}

bool LoadWorker::needsKey(const Request &request) const
{
    return request.key.empty() && !m_plan.kinds[request.kind].idempotent;
}

ConnectionPool &LoadWorker::randomEntry()
{
    return *m_pools[m_random.below(m_pools.size())];
}

HttpRequest LoadWorker::makeRequest(const Request &request, const std::string &authority) const
{
    const RequestKind &kind = m_plan.kinds[request.kind];
    HttpRequest http{boost::beast::http::verb::post, fmt::format("/call/{}/", kind.name), internal::httpVersion};
    http.set(boost::beast::http::field::host, authority);
    http.set(egretlatch::daemon::timeoutHeader, fmt::format("{}", kind.timeout.count()));
    if (!request.key.empty()) {
        http.set(egretlatch::daemon::keyHeader, request.key);
    }
    http.body() = request.body;
    http.prepare_payload();
    return http;
}

std::string LoadWorker::makeBody(const PlannedRequest &planned, const std::string &name) const
{
    if (!planned.body.empty()) {
        return planned.body;
    }
    std::string body = fmt::format("request {} ", name);
    body.resize(std::max(body.size(), static_cast<std::size_t>(m_plan.callers.bodyBytes)), '.');
    return body;
}

std::int64_t LoadWorker::secondOf(const egretlatch::SteadyTime time) const
{
    return std::chrono::floor<std::chrono::seconds>(time - m_plan.start).count();
}

} // namespace standin::load
