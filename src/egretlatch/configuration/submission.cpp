#include <egretlatch/configuration/submission.hpp>

#include <algorithm>

#include <egretlatch/core/content_hash.hpp>

namespace egretlatch::configuration
{

namespace internal
{

[[nodiscard]] static bool isFinal(const Error &error)
{
    return error.code == ErrorCode::forbidden || error.code == ErrorCode::malformed;
}

// The same id with a different manifest is a different submission.
[[nodiscard]] static bool isSameSubmission(const Head &one, const Head &other)
{
    return one.submission == other.submission && one.hash == other.hash;
}

} // namespace internal

Submission::Submission(SubmissionRequest request)
    : m_request{std::move(request)}
    , m_head{
          .version = m_request.base + 1,
          .hash = contentHash(m_request.manifest),
          .submission = m_request.id,
          .submitter = m_request.submitter,
          .submitted = m_request.submitted,
      }
{
}

store::Request Submission::request() const
{
    switch (m_stage) {
    case Stage::readHead:
        return store::TableRead{.key = headKey};
    case Stage::readVersion:
        return store::TableRead{.key = versionKey(m_head.version)};
    case Stage::putManifest:
        return store::ObjectPut{.name = objectName(m_head.hash), .bytes = m_request.manifest};
    case Stage::writeHead:
        break;
    }
    return m_write->request();
}

SubmissionStep Submission::handleOutcome(const store::Outcome &outcome)
{
    if (!outcome.has_value() && internal::isFinal(outcome.error())) {
        return finish(SubmissionEnd::refused);
    }
    if (m_stage == Stage::writeHead) {
        return handleWriteOutcome(outcome);
    }
    if (!outcome.has_value()) {
        return SubmissionStep::sendLater;
    }
    if (m_stage == Stage::putManifest) {
        m_write = makeWrite(m_headRowVersion);
        m_stage = Stage::writeHead;
        return SubmissionStep::send;
    }
    const auto *const rows = std::get_if<store::RowsReply>(&*outcome);
    if (rows == nullptr) {
        return SubmissionStep::sendLater;
    }
    return m_stage == Stage::readHead ? handleHeadRow(*rows) : handleVersionRow(*rows);
}

SubmissionStep Submission::handleHeadRow(const store::RowsReply &reply)
{
    const std::optional<Head> head = reply.rows.empty() ? std::nullopt : decodeHead(reply.rows.front().value);
    if (!reply.rows.empty() && !head.has_value()) {
        return finish(SubmissionEnd::refused);
    }
    m_headRowVersion = reply.rows.empty() ? 0 : reply.rows.front().version;
    m_result.newest = head.has_value() ? head->version : 0;
    if (m_result.newest < m_request.base) {
        return finish(SubmissionEnd::baseUnknown);
    }
    // The version after the base may be this same submission, written by an earlier run whose response was lost.
    m_stage = m_result.newest > m_request.base ? Stage::readVersion : Stage::putManifest;
    return SubmissionStep::send;
}

SubmissionStep Submission::handleVersionRow(const store::RowsReply &reply)
{
    const std::optional<Head> row = reply.rows.empty() ? std::nullopt : decodeHead(reply.rows.front().value);
    if (!row.has_value()) {
        return finish(SubmissionEnd::baseTooOld);
    }
    return finish(internal::isSameSubmission(*row, m_head) ? SubmissionEnd::accepted : SubmissionEnd::conflict, row);
}

SubmissionStep Submission::handleWriteOutcome(const store::Outcome &outcome)
{
    switch (m_write->handleOutcome(outcome)) {
    case store::WriteStep::send:
        return SubmissionStep::send;
    case store::WriteStep::sendLater:
        return SubmissionStep::sendLater;
    case store::WriteStep::applied:
        m_result.newest = std::max(m_result.newest, m_head.version);
        return finish(SubmissionEnd::accepted, m_head);
    case store::WriteStep::rejected:
        break;
    }
    const std::optional<store::Row> &marker = m_write->marker();
    const std::optional<Head> winner = marker.has_value() ? decodeHead(marker->value) : std::nullopt;
    m_result.newest = std::max(m_result.newest, m_head.version);
    return finish(SubmissionEnd::conflict, winner);
}

SubmissionStep Submission::finish(const SubmissionEnd end, const std::optional<Head> &row)
{
    m_result.end = end;
    m_result.row = row;
    return SubmissionStep::finished;
}

store::IdentifiedWrite Submission::makeWrite(const std::uint64_t headRowVersion) const
{
    const std::string key = versionKey(m_head.version);
    const std::string value = encodeHead(m_head);
    store::TableWrite write;
    write.conditions = {{.key = headKey, .version = headRowVersion}, {.key = key, .version = 0}};
    write.writes = {{.key = headKey, .value = value}, {.key = key, .value = value}};
    if (m_head.version > versionsKept) {
        write.writes.push_back({.key = versionKey(m_head.version - versionsKept), .value = std::nullopt});
    }
    return {std::move(write), key, [head = m_head](const std::string &found) {
                const std::optional<Head> row = decodeHead(found);
                return row.has_value() && internal::isSameSubmission(*row, head);
            }};
}

} // namespace egretlatch::configuration
