#include <egretlatch/http/answer_queue.hpp>

#include <algorithm>

namespace egretlatch::http
{

void AnswerQueue::start(const ExchangeId exchange, const bool mayOverlap, const qsizetype bodyBytes)
{
    m_pending.push_back({.exchange = exchange, .mayOverlap = mayOverlap, .bytes = bodyBytes, .response = std::nullopt});
    m_bufferedBytes += bodyBytes;
}

void AnswerQueue::startAnswered(Response response)
{
    const qsizetype bytes = response.body.size();
    m_pending.push_back({.exchange = {}, .mayOverlap = false, .bytes = bytes, .response = std::move(response)});
    m_bufferedBytes += bytes;
}

bool AnswerQueue::answer(const ExchangeId exchange, Response response)
{
    const auto pending = std::find_if(m_pending.begin(), m_pending.end(), [exchange](const PendingAnswer &candidate) {
        return !candidate.response.has_value() && candidate.exchange == exchange;
    });
    if (pending == m_pending.end()) {
        return false;
    }
    m_bufferedBytes += response.body.size() - pending->bytes;
    pending->bytes = response.body.size();
    pending->response = std::move(response);
    return true;
}

std::optional<Response> AnswerQueue::takeNext()
{
    if (m_pending.empty() || !m_pending.front().response.has_value()) {
        return std::nullopt;
    }
    std::optional<Response> response = std::move(m_pending.front().response);
    m_bufferedBytes -= m_pending.front().bytes;
    m_pending.pop_front();
    return response;
}

std::vector<ExchangeId> AnswerQueue::abandon()
{
    std::vector<ExchangeId> unanswered;
    for (const PendingAnswer &pending : m_pending) {
        if (!pending.response.has_value()) {
            unanswered.push_back(pending.exchange);
        }
    }
    m_pending.clear();
    m_bufferedBytes = 0;
    return unanswered;
}

} // namespace egretlatch::http
