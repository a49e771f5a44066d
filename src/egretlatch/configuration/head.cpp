#include <egretlatch/configuration/head.hpp>

#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>

#include <egretlatch/core/qt_text.hpp>

namespace egretlatch::configuration
{

namespace internal
{

constexpr qsizetype hashDigits = 64;

} // namespace internal

std::string versionKey(const std::uint64_t version)
{
    return fmt::format("configuration/version/{:012}", version);
}

std::string objectName(const std::string &hash)
{
    return "configuration/" + hash;
}

std::string encodeHead(const Head &head)
{
    const auto submitted = std::chrono::duration_cast<std::chrono::milliseconds>(head.submitted.time_since_epoch()).count();
    const QJsonObject object{
        {u"version"_qs, static_cast<qint64>(head.version)},
        {u"hash"_qs, toQt(head.hash)},
        {u"submission"_qs, toQt(head.submission)},
        {u"submitter"_qs, toQt(head.submitter)},
        {u"submittedMs"_qs, static_cast<qint64>(submitted)},
    };
    return QJsonDocument{object}.toJson(QJsonDocument::Compact).toStdString();
}

std::optional<Head> decodeHead(const std::string &value)
{
    const QJsonObject object = QJsonDocument::fromJson(QByteArray::fromStdString(value)).object();
    const qint64 version = object[u"version"].toInteger();
    const QString hash = object[u"hash"].toString();
    if (version <= 0 || hash.size() != internal::hashDigits) {
        return std::nullopt;
    }
    return Head{
        .version = static_cast<std::uint64_t>(version),
        .hash = hash.toStdString(),
        .submission = object[u"submission"].toString().toStdString(),
        .submitter = object[u"submitter"].toString().toStdString(),
        .submitted = WallTime{std::chrono::milliseconds{object[u"submittedMs"].toInteger()}},
    };
}

} // namespace egretlatch::configuration
