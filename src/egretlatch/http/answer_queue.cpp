#include <egretlatch/http/answer_queue.hpp>

#include <algorithm>

namespace egretlatch::http
{

void AnswerQueue::start(const ExchangeId exchange, const bool mayOverlap, const qsizetype bodyBytes)
{
    m_turns.push_back({.exchange = exchange, .mayOverlap = mayOverlap, .bytes = bodyBytes, .response = std::nullopt});
    m_heldBytes += bodyBytes;
}

void AnswerQueue::startAnswered(Response response)
{
    const qsizetype bytes = response.body.size();
    m_turns.push_back({.exchange = {}, .mayOverlap = false, .bytes = bytes, .response = std::move(response)});
    m_heldBytes += bytes;
}

bool AnswerQueue::answer(const ExchangeId exchange, Response response)
{
    const auto turn = std::find_if(m_turns.begin(), m_turns.end(), [exchange](const Turn &candidate) {
        return !candidate.response.has_value() && candidate.exchange == exchange;
    });
    if (turn == m_turns.end()) {
        return false;
    }
    m_heldBytes += response.body.size() - turn->bytes;
    turn->bytes = response.body.size();
    turn->response = std::move(response);
    return true;
}

std::optional<Response> AnswerQueue::takeNext()
{
    if (m_turns.empty() || !m_turns.front().response.has_value()) {
        return std::nullopt;
    }
    std::optional<Response> response = std::move(m_turns.front().response);
    m_heldBytes -= m_turns.front().bytes;
    m_turns.pop_front();
    return response;
}

std::vector<ExchangeId> AnswerQueue::abandon()
{
    std::vector<ExchangeId> unanswered;
    for (const Turn &turn : m_turns) {
        if (!turn.response.has_value()) {
            unanswered.push_back(turn.exchange);
        }
    }
    m_turns.clear();
    m_heldBytes = 0;
    return unanswered;
}

} // namespace egretlatch::http
