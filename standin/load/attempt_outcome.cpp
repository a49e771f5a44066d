#include <load/attempt_outcome.hpp>

#include <array>

#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>

#include <egretlatch/core/verdict.hpp>

namespace standin::load
{

namespace internal
{

constexpr int minErrorStatus = 400;
constexpr std::array<std::string_view, 5> names{"completed", "refused", "may-have-run", "failed", "cancelled"};

[[nodiscard]] static std::string refusalReason(const HttpReply &reply)
{
    const QJsonObject problem = QJsonDocument::fromJson(QByteArray::fromStdString(reply.body)).object();
    const std::string reason = problem[u"reason"].toString().toStdString();
    return reason.empty() ? fmt::format("status-{}", reply.status) : reason;
}

[[nodiscard]] static AttemptOutcome classifyAnswer(const HttpReply &reply, const std::string &body)
{
    const std::optional<egretlatch::Verdict> verdict = egretlatch::verdictFromString(reply.verdict);
    if (!verdict.has_value()) {
        return {.outcomeClass = OutcomeClass::failed, .cause = fmt::format("no-verdict-status-{}", reply.status)};
    }
    switch (*verdict) {
    case egretlatch::Verdict::notRun:
        return {.outcomeClass = OutcomeClass::refused, .cause = refusalReason(reply)};
    case egretlatch::Verdict::mayHaveRun:
        return {.outcomeClass = OutcomeClass::mayHaveRun, .cause = refusalReason(reply)};
    case egretlatch::Verdict::completed:
        break;
    }
    if (reply.status >= minErrorStatus) {
        return {.outcomeClass = OutcomeClass::failed, .cause = fmt::format("status-{}", reply.status)};
    }
    if (reply.body != body) {
        return {.outcomeClass = OutcomeClass::failed, .cause = "wrong-answer"};
    }
    return {.outcomeClass = OutcomeClass::completed, .cause = {}};
}

} // namespace internal

std::string_view toString(const OutcomeClass outcomeClass) noexcept
{
    return internal::names.at(static_cast<std::size_t>(outcomeClass));
}

AttemptOutcome classifyReply(const HttpReply &reply, const std::string &body)
{
    switch (reply.transport) {
    case TransportResult::connectFailed:
        return {.outcomeClass = OutcomeClass::failed, .cause = "never-connected"};
    case TransportResult::connectionLost:
        return {.outcomeClass = OutcomeClass::failed, .cause = "connection-lost"};
    case TransportResult::timedOut:
        return {.outcomeClass = OutcomeClass::failed, .cause = "no-answer"};
    case TransportResult::answered:
        break;
    }
    return internal::classifyAnswer(reply, body);
}

std::string parseMintedKey(const HttpReply &reply)
{
    if (reply.transport != TransportResult::answered || reply.status >= internal::minErrorStatus) {
        return {};
    }
    return QJsonDocument::fromJson(QByteArray::fromStdString(reply.body)).object()[u"key"].toString().toStdString();
}

} // namespace standin::load
