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

constexpr int firstError = 400;
constexpr std::array<std::string_view, 5> names{"completed", "refused", "may-have-run", "failed", "cancelled"};

[[nodiscard]] static std::string reasonOf(const HttpReply &reply)
{
    const QJsonObject problem = QJsonDocument::fromJson(QByteArray::fromStdString(reply.body)).object();
    const std::string reason = problem[u"reason"].toString().toStdString();
    return reason.empty() ? fmt::format("status-{}", reply.status) : reason;
}

[[nodiscard]] static AttemptOutcome judgeAnswer(const HttpReply &reply, const std::string &body)
{
    const std::optional<egretlatch::Verdict> verdict = egretlatch::verdictFromString(reply.verdict);
    if (!verdict.has_value()) {
        return {.outcomeClass = OutcomeClass::failed, .cause = fmt::format("no-verdict-status-{}", reply.status)};
    }
    switch (*verdict) {
    case egretlatch::Verdict::notRun:
        return {.outcomeClass = OutcomeClass::refused, .cause = reasonOf(reply)};
    case egretlatch::Verdict::mayHaveRun:
        return {.outcomeClass = OutcomeClass::mayHaveRun, .cause = reasonOf(reply)};
    case egretlatch::Verdict::completed:
        break;
    }
    if (reply.status >= firstError) {
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

AttemptOutcome judge(const HttpReply &reply, const std::string &body)
{
    switch (reply.end) {
    case HttpEnd::neverConnected:
        return {.outcomeClass = OutcomeClass::failed, .cause = "never-connected"};
    case HttpEnd::lost:
        return {.outcomeClass = OutcomeClass::failed, .cause = "connection-lost"};
    case HttpEnd::timedOut:
        return {.outcomeClass = OutcomeClass::failed, .cause = "no-answer"};
    case HttpEnd::answered:
        break;
    }
    return internal::judgeAnswer(reply, body);
}

std::string keyIn(const HttpReply &reply)
{
    if (reply.end != HttpEnd::answered || reply.status >= internal::firstError) {
        return {};
    }
    return QJsonDocument::fromJson(QByteArray::fromStdString(reply.body)).object()[u"key"].toString().toStdString();
}

} // namespace standin::load
