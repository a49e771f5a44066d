#include <egretlatch/cli/loss_table.hpp>

#include <algorithm>
#include <vector>

#include <QDateTime>
#include <QJsonArray>

#include <fmt/format.h>

#include <egretlatch/cli/exit_code.hpp>
#include <egretlatch/cli/log_line.hpp>

namespace egretlatch::cli
{

namespace internal
{

[[nodiscard]] static QString timeOf(const std::int64_t seconds)
{
    return QDateTime::fromSecsSinceEpoch(seconds, Qt::UTC).toString(Qt::ISODate);
}

} // namespace internal

LossTable::LossTable(const std::chrono::seconds span)
    : m_span{span}
{
}

void LossTable::processLine(const QJsonObject &fields)
{
    if (textField(fields, "event") != "refused" || numberField(fields, "depth") > 0) {
        return;
    }
    const std::int64_t seconds = QDateTime::fromString(fields[u"time"].toString(), Qt::ISODateWithMs).toSecsSinceEpoch();
    const Row row{
        .begin = seconds - seconds % m_span.count(),
        .kind = textField(fields, "service") + "/" + textField(fields, "kind"),
        .reason = textField(fields, "reason"),
        .daemon = textField(fields, "server"),
    };
    Loss &loss = m_losses[row];
    ++loss.requests;
    loss.worth += fields[u"worth"].toString().toDouble();
}

CommandResult LossTable::asText() const
{
    std::vector<std::pair<Row, Loss>> rows{m_losses.begin(), m_losses.end()};
    std::stable_sort(rows.begin(), rows.end(), [](const auto &one, const auto &other) {
        return one.first.begin != other.first.begin ? one.first.begin < other.first.begin : one.second.worth > other.second.worth;
    });
    std::string text = fmt::format("{:<20} {:>8} {:>8}  {:<32} {:<20} {}\n", "from", "requests", "worth", "kind", "reason", "asked last");
    for (const auto &[row, loss] : rows) {
        const std::string lastDaemon = row.daemon.empty() ? "nobody" : row.daemon;
        text += fmt::format("{:<20} {:>8} {:>8.1f}  {:<32} {:<20} {}\n",
                            internal::timeOf(row.begin).toStdString(),
                            loss.requests,
                            loss.worth,
                            row.kind,
                            row.reason,
                            lastDaemon);
    }
    text += describeGaps();
    return {.code = ExitCode::success, .text = std::move(text)};
}

CommandResult LossTable::asJson() const
{
    QJsonArray rows;
    for (const auto &[row, loss] : m_losses) {
        rows.append(QJsonObject{
            {u"from"_qs, internal::timeOf(row.begin)},
            {u"seconds"_qs, static_cast<qint64>(m_span.count())},
            {u"kind"_qs, QString::fromStdString(row.kind)},
            {u"reason"_qs, QString::fromStdString(row.reason)},
            {u"askedLast"_qs, QString::fromStdString(row.daemon)},
            {u"requests"_qs, loss.requests},
            {u"worth"_qs, loss.worth},
        });
    }
    QJsonObject document{{u"losses"_qs, rows}};
    addGapCounts(document);
    return {.code = ExitCode::success, .text = QJsonDocument{document}.toJson().toStdString()};
}

} // namespace egretlatch::cli
