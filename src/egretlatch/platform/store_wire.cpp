#include <egretlatch/platform/store_wire.hpp>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUrl>

#include <fmt/format.h>

#include <egretlatch/platform/duration_text.hpp>
#include <egretlatch/platform/names.hpp>

namespace egretlatch::platform
{

namespace internal
{

constexpr int ok = 200;
constexpr int gone = 410;
constexpr int preconditionFailed = 412;
constexpr int tooManyRequests = 429;
constexpr int serviceUnavailable = 503;

[[nodiscard]] static QString toQt(const std::string &text)
{
    return QString::fromStdString(text);
}

[[nodiscard]] static std::string percentEncoded(const std::string &text)
{
    return QUrl::toPercentEncoding(toQt(text)).toStdString();
}

[[nodiscard]] static QJsonObject rowAddress(const std::string &key)
{
    return {{QLatin1String{"table"}, QLatin1String{ownTable}}, {QLatin1String{"part"}, QLatin1String{""}}, {QLatin1String{"key"}, toQt(key)}};
}

[[nodiscard]] static http::Request get(std::string target)
{
    http::Request request;
    request.method = "GET";
    request.target = std::move(target);
    return request;
}

[[nodiscard]] static http::Request write(const store::TableRead &read)
{
    // The store has no call for a single row. A page of one row from this key on holds the row or shows that it is missing.
    return get(fmt::format("/api/rows-get?table={}&part=&from={}&limit=1", ownTable, percentEncoded(read.key)));
}

[[nodiscard]] static http::Request write(const store::TableScan &scan)
{
    // The range includes its first key. The next key after `after` is that text with the lowest character appended.
    const std::string from = scan.after.empty() ? scan.prefix : scan.after + ' ';
    return get(fmt::format("/api/rows-get?table={}&part=&from={}&limit={}", ownTable, percentEncoded(from), scan.limit));
}

[[nodiscard]] static http::Request write(const store::TableWrite &change)
{
    QJsonArray conditions;
    for (const store::RowCondition &condition : change.conditions) {
        QJsonObject row = rowAddress(condition.key);
        row.insert(QLatin1String{"ver"}, static_cast<qint64>(condition.version));
        conditions.append(row);
    }
    QJsonArray writes;
    QJsonArray removals;
    for (const store::RowWrite &row : change.writes) {
        QJsonObject entry = rowAddress(row.key);
        if (!row.value.has_value()) {
            removals.append(entry);
            continue;
        }
        entry.insert(QLatin1String{"value"}, QString::fromLatin1(QByteArray::fromStdString(*row.value).toBase64()));
        writes.append(entry);
    }
    http::Request request;
    request.method = "POST";
    request.target = "/api/rows-tx";
    request.headers.push_back({.name = "Content-Type", .value = "application/json"});
    const QJsonObject body{{QLatin1String{"expected_rev"}, conditions}, {QLatin1String{"writes"}, writes}, {QLatin1String{"remove"}, removals}};
    request.body = QJsonDocument{body}.toJson(QJsonDocument::Compact);
    return request;
}

[[nodiscard]] static std::optional<store::StoreTime> clockOf(const QJsonObject &body)
{
    const auto sinceStart = parseStoreClock(body[QLatin1String{"now"}].toString().toStdString());
    return sinceStart.has_value() ? std::optional{store::StoreTime{*sinceStart}} : std::nullopt;
}

[[nodiscard]] static Error errorForStatus(const int status)
{
    switch (status) {
    case gone:
        return {ErrorCode::notFound, "the store has dropped this part of its history"};
    case preconditionFailed:
        return {ErrorCode::conflict, "a condition did not hold"};
    case tooManyRequests:
        return {ErrorCode::rateLimited, "the store limits the rate of calls"};
    case serviceUnavailable:
        return {ErrorCode::unavailable, "the store is not available"};
    default:
        return {ErrorCode::timedOut, fmt::format("the store answered with status {}", status)};
    }
}

[[nodiscard]] static std::vector<store::Row> rowsOf(const QJsonObject &body, const store::Request &request)
{
    const auto *const read = std::get_if<store::TableRead>(&request);
    const auto *const scan = std::get_if<store::TableScan>(&request);
    std::vector<store::Row> rows;
    for (const QJsonValue value : body[QLatin1String{"rows"}].toArray()) {
        const QJsonObject object = value.toObject();
        store::Row row;
        row.key = object[QLatin1String{"key"}].toString().toStdString();
        row.value = QByteArray::fromBase64(object[QLatin1String{"value"}].toString().toLatin1()).toStdString();
        row.version = static_cast<std::uint64_t>(object[QLatin1String{"ver"}].toInteger());
        const bool isWanted = (read == nullptr || row.key == read->key) && (scan == nullptr || row.key.starts_with(scan->prefix));
        if (isWanted) {
            rows.push_back(std::move(row));
        }
    }
    return rows;
}

} // namespace internal

std::optional<http::Request> writeStoreRequest(const store::Request &request)
{
    if (const auto *const read = std::get_if<store::TableRead>(&request)) {
        return internal::write(*read);
    }
    if (const auto *const scan = std::get_if<store::TableScan>(&request)) {
        return internal::write(*scan);
    }
    if (const auto *const change = std::get_if<store::TableWrite>(&request)) {
        return internal::write(*change);
    }
    return std::nullopt;
}

store::Outcome readStoreAnswer(const store::Request &request, const http::Response &answer)
{
    if (answer.status != internal::ok) {
        return tl::unexpected{internal::errorForStatus(answer.status)};
    }
    const QJsonDocument document = QJsonDocument::fromJson(answer.body);
    if (std::holds_alternative<store::TableWrite>(request)) {
        return store::WrittenReply{.now = internal::clockOf(document.object())};
    }
    if (!document.isObject()) {
        return tl::unexpected{Error{ErrorCode::malformed, "the store's answer is not a JSON object"}};
    }
    return store::RowsReply{.rows = internal::rowsOf(document.object(), request), .now = internal::clockOf(document.object())};
}

http::Request writeConfigurationRead()
{
    return internal::get(fmt::format("/api/rows-get?table={}&part=", operatorTable));
}

http::Request writeConfigurationLongPoll(const std::uint64_t position, const std::chrono::milliseconds wait)
{
    return internal::get(fmt::format("/api/rows-feed?table={}&after={}&wait_ms={}", operatorTable, position, wait.count()));
}

Result<ConfigurationPage> readConfigurationPage(const http::Response &answer)
{
    if (answer.status != internal::ok) {
        return tl::unexpected{internal::errorForStatus(answer.status)};
    }
    const QJsonDocument document = QJsonDocument::fromJson(answer.body);
    const QJsonValue position = document.object()[QLatin1String{"ver"}];
    if (!document.isObject() || !position.isDouble()) {
        return tl::unexpected{Error{ErrorCode::malformed, "the store's page has no version"}};
    }
    ConfigurationPage page;
    page.now = internal::clockOf(document.object());
    page.position = static_cast<std::uint64_t>(position.toInteger());
    for (const QJsonValue value : document.object()[QLatin1String{"rows"}].toArray()) {
        const QJsonObject row = value.toObject();
        const bool isConfiguration = row[QLatin1String{"key"}].toString() == QLatin1String{configurationKey};
        if (isConfiguration && !row[QLatin1String{"deleted"}].toBool()) {
            page.documents.push_back(QByteArray::fromBase64(row[QLatin1String{"value"}].toString().toLatin1()));
        }
    }
    return page;
}

} // namespace egretlatch::platform
