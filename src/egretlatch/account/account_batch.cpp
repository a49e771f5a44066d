#include <egretlatch/account/account_batch.hpp>

#include <QJsonArray>
#include <QJsonDocument>
#include <QtEndian>

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace egretlatch::account
{

namespace internal
{

constexpr quint32 maxBatchBytes = 64U * 1024U * 1024U;
constexpr int hexadecimal = 16;

[[nodiscard]] static qint64 toMilliseconds(const WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

[[nodiscard]] static WallTime toTime(const QJsonValue &milliseconds)
{
    return WallTime{std::chrono::milliseconds{milliseconds.toInteger()}};
}

[[nodiscard]] static QJsonObject toJson(const DroppedRefusals &dropped)
{
    return {
        {u"count"_qs, static_cast<qint64>(dropped.count)},
        {u"firstMs"_qs, toMilliseconds(dropped.first)},
        {u"lastMs"_qs, toMilliseconds(dropped.last)},
    };
}

// The first four bytes announce the uncompressed size; the limit keeps a corrupt object from exhausting the reader's memory.
[[nodiscard]] static bool isSizeValid(const QByteArray &bytes)
{
    return bytes.size() > static_cast<qsizetype>(sizeof(quint32)) && qFromBigEndian<quint32>(bytes.constData()) <= maxBatchBytes;
}

} // namespace internal

std::string minutePrefix(const WallTime time)
{
    return fmt::format("{}{:%Y-%m-%dT%H:%M}/", accountPrefix, std::chrono::floor<std::chrono::seconds>(time));
}

std::string objectName(const AccountBatch &batch)
{
    return fmt::format("{}{}-{:x}-{:08}", minutePrefix(batch.minute), batch.daemon.value, batch.incarnation.value, batch.sequence);
}

QByteArray encodeBatch(const AccountBatch &batch)
{
    QJsonArray refusals;
    for (const RefusalRecord &record : batch.refusals) {
        refusals.append(toJson(record));
    }
    QJsonArray dropped;
    for (const DroppedRefusals &gap : batch.dropped) {
        dropped.append(internal::toJson(gap));
    }
    const QJsonObject object{
        {u"daemon"_qs, QString::fromStdString(batch.daemon.value)},
        {u"incarnation"_qs, QString::number(static_cast<qulonglong>(batch.incarnation.value), internal::hexadecimal)},
        {u"sequence"_qs, static_cast<qint64>(batch.sequence)},
        {u"minuteMs"_qs, internal::toMilliseconds(batch.minute)},
        {u"refusals"_qs, refusals},
        {u"dropped"_qs, dropped},
        {u"last"_qs, batch.isLast},
    };
    return qCompress(QJsonDocument{object}.toJson(QJsonDocument::Compact));
}

std::optional<AccountBatch> decodeBatch(const QByteArray &bytes)
{
    if (!internal::isSizeValid(bytes)) {
        return std::nullopt;
    }
    const QJsonObject object = QJsonDocument::fromJson(qUncompress(bytes)).object();
    if (!object[u"refusals"].isArray()) {
        return std::nullopt;
    }
    AccountBatch batch;
    batch.daemon = {object[u"daemon"].toString().toStdString()};
    batch.incarnation = {object[u"incarnation"].toString().toULongLong(nullptr, internal::hexadecimal)};
    batch.sequence = static_cast<std::uint64_t>(object[u"sequence"].toInteger());
    batch.minute = internal::toTime(object[u"minuteMs"]);
    batch.isLast = object[u"last"].toBool();
    const QJsonArray refusals = object[u"refusals"].toArray();
    for (const auto &entry : refusals) {
        std::optional<RefusalRecord> record = refusalRecordFromJson(entry.toObject());
        if (!record.has_value()) {
            return std::nullopt;
        }
        batch.refusals.push_back(std::move(*record));
    }
    const QJsonArray dropped = object[u"dropped"].toArray();
    for (const auto &gap : dropped) {
        batch.dropped.push_back({
            .count = static_cast<std::uint64_t>(gap[u"count"].toInteger()),
            .first = internal::toTime(gap[u"firstMs"]),
            .last = internal::toTime(gap[u"lastMs"]),
        });
    }
    return batch;
}

} // namespace egretlatch::account
