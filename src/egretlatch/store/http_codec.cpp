#include <egretlatch/store/http_codec.hpp>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUrl>
#include <QUrlQuery>

#include <fmt/format.h>

#include <egretlatch/core/qt_text.hpp>

namespace egretlatch::store
{

namespace internal
{

constexpr int ok = 200;
constexpr int noContent = 204;
constexpr int badRequest = 400;
constexpr int unauthorized = 401;
constexpr int forbidden = 403;
constexpr int missing = 404;
constexpr int conflict = 409;
constexpr int tooManyRequests = 429;
constexpr int serviceUnavailable = 503;
constexpr QLatin1String objectPrefix{"/objects/"};

// Row values are arbitrary bytes, while JSON holds only text.
[[nodiscard]] static QString toBase64(const std::string &bytes)
{
    return QString::fromLatin1(QByteArray::fromStdString(bytes).toBase64());
}

[[nodiscard]] static std::string fromBase64(const QJsonValue &value)
{
    return QByteArray::fromBase64(value.toString().toLatin1()).toStdString();
}

[[nodiscard]] static QByteArray toJson(const QJsonObject &object)
{
    return QJsonDocument{object}.toJson(QJsonDocument::Compact);
}

[[nodiscard]] static std::string encodeName(const std::string &name)
{
    return QUrl::toPercentEncoding(toQt(name), "/").toStdString();
}

[[nodiscard]] static std::uint64_t readVersion(const QJsonValue &value)
{
    return static_cast<std::uint64_t>(value.toInteger());
}

struct RequestEncoder
{
    HttpRequest operator()(const TableRead &read) const
    {
        return {.method = "POST", .target = "/table/read", .body = toJson({{u"key"_qs, toQt(read.key)}})};
    }

    HttpRequest operator()(const TableScan &scan) const
    {
        const QJsonObject object{{u"prefix"_qs, toQt(scan.prefix)}, {u"after"_qs, toQt(scan.after)}, {u"limit"_qs, scan.limit}};
        return {.method = "POST", .target = "/table/scan", .body = toJson(object)};
    }

    HttpRequest operator()(const TableWrite &write) const
    {
        QJsonArray conditions;
        for (const RowCondition &condition : write.conditions) {
            conditions.append(QJsonObject{{u"key"_qs, toQt(condition.key)}, {u"version"_qs, static_cast<qint64>(condition.version)}});
        }
        QJsonArray writes;
        for (const RowWrite &row : write.writes) {
            const QJsonValue value = row.value.has_value() ? QJsonValue{toBase64(*row.value)} : QJsonValue{};
            writes.append(QJsonObject{{u"key"_qs, toQt(row.key)}, {u"value"_qs, value}});
        }
        return {.method = "POST", .target = "/table/write", .body = toJson({{u"conditions"_qs, conditions}, {u"writes"_qs, writes}})};
    }

    HttpRequest operator()(const ObjectPut &put) const
    {
        return {.method = "PUT", .target = "/objects/" + encodeName(put.name), .body = put.bytes};
    }

    HttpRequest operator()(const ObjectGet &get) const
    {
        return {.method = "GET", .target = "/objects/" + encodeName(get.name), .body = {}};
    }

    HttpRequest operator()(const ObjectList &list) const
    {
        const std::string target = fmt::format("/objects?prefix={}&after={}&limit={}", encodeName(list.prefix), encodeName(list.after), list.limit);
        return {.method = "GET", .target = target, .body = {}};
    }
};

[[nodiscard]] static TableWrite decodeWrite(const QJsonObject &object)
{
    TableWrite write;
    const QJsonArray conditions = object[u"conditions"].toArray();
    for (const auto &condition : conditions) {
        write.conditions.push_back({.key = condition[u"key"].toString().toStdString(), .version = readVersion(condition[u"version"])});
    }
    const QJsonArray writes = object[u"writes"].toArray();
    for (const auto &row : writes) {
        const QJsonValue value = row[u"value"];
        const std::optional<std::string> bytes = value.isNull() ? std::nullopt : std::optional{fromBase64(value)};
        write.writes.push_back({.key = row[u"key"].toString().toStdString(), .value = bytes});
    }
    return write;
}

[[nodiscard]] static Result<Request> decodeTable(const QString &path, const QByteArray &body)
{
    const QJsonDocument document = QJsonDocument::fromJson(body);
    if (!document.isObject()) {
        return tl::unexpected{Error{ErrorCode::malformed, "a body that is no JSON object"}};
    }
    const QJsonObject object = document.object();
    if (path == QLatin1String{"/table/read"}) {
        return TableRead{.key = object[u"key"].toString().toStdString()};
    }
    if (path == QLatin1String{"/table/scan"}) {
        return TableScan{
            .prefix = object[u"prefix"].toString().toStdString(), .after = object[u"after"].toString().toStdString(), .limit = object[u"limit"].toInt()};
    }
    if (path == QLatin1String{"/table/write"}) {
        return decodeWrite(object);
    }
    return tl::unexpected{Error{ErrorCode::malformed, "no such path"}};
}

struct ReplyEncoder
{
    QByteArray operator()(const RowsReply &reply) const
    {
        QJsonArray rows;
        for (const Row &row : reply.rows) {
            rows.append(QJsonObject{{u"key"_qs, toQt(row.key)}, {u"value"_qs, toBase64(row.value)}, {u"version"_qs, static_cast<qint64>(row.version)}});
        }
        return toJson({{u"rows"_qs, rows}});
    }

    QByteArray operator()(const WrittenReply & /*reply*/) const
    {
        return "{}";
    }

    QByteArray operator()(const ObjectReply &reply) const
    {
        return reply.bytes;
    }

    QByteArray operator()(const NamesReply &reply) const
    {
        QJsonArray names;
        for (const std::string &name : reply.names) {
            names.append(toQt(name));
        }
        return toJson({{u"names"_qs, names}});
    }
};

[[nodiscard]] static Outcome decodeRows(const QByteArray &body)
{
    const QJsonValue rows = QJsonDocument::fromJson(body).object()[u"rows"];
    if (!rows.isArray()) {
        return tl::unexpected{Error{ErrorCode::malformed, "an answer without rows"}};
    }
    RowsReply reply;
    const QJsonArray list = rows.toArray();
    for (const auto &row : list) {
        reply.rows.push_back({.key = row[u"key"].toString().toStdString(), .value = fromBase64(row[u"value"]), .version = readVersion(row[u"version"])});
    }
    return reply;
}

[[nodiscard]] static Outcome decodeNames(const QByteArray &body)
{
    const QJsonValue names = QJsonDocument::fromJson(body).object()[u"names"];
    if (!names.isArray()) {
        return tl::unexpected{Error{ErrorCode::malformed, "an answer without names"}};
    }
    NamesReply reply;
    const QJsonArray list = names.toArray();
    for (const auto &name : list) {
        reply.names.push_back(name.toString().toStdString());
    }
    return reply;
}

struct ReplyDecoder
{
    const QByteArray &body;

    Outcome operator()(const TableRead & /*read*/) const
    {
        return decodeRows(body);
    }

    Outcome operator()(const TableScan & /*scan*/) const
    {
        return decodeRows(body);
    }

    Outcome operator()(const TableWrite & /*write*/) const
    {
        return WrittenReply{};
    }

    Outcome operator()(const ObjectPut & /*put*/) const
    {
        return WrittenReply{};
    }

    Outcome operator()(const ObjectGet & /*get*/) const
    {
        return ObjectReply{.bytes = body};
    }

    Outcome operator()(const ObjectList & /*list*/) const
    {
        return decodeNames(body);
    }
};

} // namespace internal

bool isWrite(const Request &request) noexcept
{
    return std::holds_alternative<TableWrite>(request) || std::holds_alternative<ObjectPut>(request);
}

HttpRequest encodeRequest(const Request &request)
{
    return std::visit(internal::RequestEncoder{}, request);
}

Result<Request> decodeRequest(const HttpRequest &http)
{
    const QUrl url = QUrl::fromEncoded(QByteArray::fromStdString(http.target));
    const QString path = url.path();
    if (path.startsWith(QLatin1String{"/table/"})) {
        return internal::decodeTable(path, http.body);
    }
    if (path.startsWith(internal::objectPrefix)) {
        const std::string name = path.mid(internal::objectPrefix.size()).toStdString();
        return http.method == "PUT" ? Request{ObjectPut{.name = name, .bytes = http.body}} : Request{ObjectGet{.name = name}};
    }
    if (path == QLatin1String{"/objects"}) {
        const QUrlQuery query{url};
        return ObjectList{.prefix = query.queryItemValue(u"prefix"_qs, QUrl::FullyDecoded).toStdString(),
                          .after = query.queryItemValue(u"after"_qs, QUrl::FullyDecoded).toStdString(),
                          .limit = query.queryItemValue(u"limit"_qs).toInt()};
    }
    return tl::unexpected{Error{ErrorCode::malformed, "no such path"}};
}

QByteArray encodeReply(const Reply &reply)
{
    return std::visit(internal::ReplyEncoder{}, reply);
}

int httpStatus(const Outcome &outcome) noexcept
{
    if (outcome.has_value()) {
        return internal::ok;
    }
    switch (outcome.error().code) {
    case ErrorCode::conflict:
        return internal::conflict;
    case ErrorCode::notFound:
        return internal::missing;
    case ErrorCode::rateLimited:
        return internal::tooManyRequests;
    case ErrorCode::unavailable:
        return internal::serviceUnavailable;
    case ErrorCode::forbidden:
        return internal::forbidden;
    default:
        return internal::badRequest;
    }
}

Outcome decodeOutcome(const Request &request, const int status, const QByteArray &body)
{
    switch (status) {
    case internal::ok:
    case internal::noContent:
        return std::visit(internal::ReplyDecoder{body}, request);
    case internal::missing:
        return tl::unexpected{Error{ErrorCode::notFound, "the platform has no such object"}};
    case internal::conflict:
        return tl::unexpected{Error{ErrorCode::conflict, "a condition of the write did not hold"}};
    case internal::tooManyRequests:
        return tl::unexpected{Error{ErrorCode::rateLimited, "the platform limits the rate"}};
    case internal::serviceUnavailable:
        return tl::unexpected{Error{ErrorCode::unavailable, "the platform is down"}};
    case internal::unauthorized:
    case internal::forbidden:
        return tl::unexpected{Error{ErrorCode::forbidden, "the platform does not accept the token"}};
    case internal::badRequest:
        return tl::unexpected{Error{ErrorCode::malformed, "the platform does not understand the request"}};
    default:
        // The status may come from a gateway or from a crash of the platform after the write has taken effect.
        return tl::unexpected{Error{ErrorCode::timedOut, fmt::format("the platform answered {}", status)}};
    }
}

} // namespace egretlatch::store
