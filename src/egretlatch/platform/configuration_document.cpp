#include <egretlatch/platform/configuration_document.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>

#include <egretlatch/core/secret.hpp>
#include <egretlatch/platform/duration_text.hpp>

namespace egretlatch::platform
{

namespace internal
{

constexpr int lowestRank = 9;
constexpr int hexadecimal = 16;
// Upper limit on the retries of a route; a larger value in a document is an error and is clamped.
constexpr int maxRetries = 16;
// Default of a route without a timeout; as long as the longest deadline observed.
constexpr std::chrono::milliseconds defaultTimeout{10'000};
constexpr int defaultConnections = 100;

struct Services
{
    /*! @brief Services by name. */
    std::map<QString, QJsonObject> services;
    std::map<QString, QJsonArray> kinds;
};

[[nodiscard]] static QJsonValue field(const QJsonObject &object, const char *const name)
{
    return object[QLatin1String{name}];
}

[[nodiscard]] static std::chrono::milliseconds durationOf(const QJsonValue &value, const std::chrono::milliseconds fallback)
{
    const auto read = parseDuration(value.toString().toStdString());
    return std::max(read.value_or(fallback), std::chrono::milliseconds{1});
}

[[nodiscard]] static QJsonArray targetsOf(const QJsonObject &spec)
{
    QJsonArray targets;
    std::set<QString> names;
    for (const QJsonValue value : field(spec, "weighted_services").toArray()) {
        const QString service = field(value.toObject(), "service").toString();
        if (!service.isEmpty() && names.insert(service).second) {
            targets.append(QJsonObject{{QLatin1String{"service"}, service}, {QLatin1String{"weight"}, field(value.toObject(), "weight").toInt(1)}});
        }
    }
    const QString only = field(spec, "service").toString();
    if (targets.isEmpty() && !only.isEmpty()) {
        targets.append(QJsonObject{{QLatin1String{"service"}, only}, {QLatin1String{"weight"}, 1}});
    }
    return targets;
}

// The platform's priorities count down from 0, the highest.
[[nodiscard]] static int priorityOf(const QJsonValue &rank)
{
    return lowestRank - std::clamp(rank.toInt(lowestRank), 0, lowestRank);
}

[[nodiscard]] static QJsonObject kindOf(const QString &name, const QJsonObject &spec)
{
    const QString kind = field(spec, "kind").toString();
    // An unknown kind is treated as not idempotent, which is safe for every kind.
    const bool isIdempotent = kind == QLatin1String{"idempotent"} || kind == QLatin1String{"download"};
    const std::chrono::milliseconds timeout = durationOf(field(spec, "timeout"), defaultTimeout);
    const std::chrono::milliseconds target = durationOf(field(spec, "target_latency"), timeout);
    return {
        {QLatin1String{"name"}, name},
        {QLatin1String{"priority"}, priorityOf(field(spec, "priority"))},
        // The platform gives routes a priority but no worth, so all routes of one priority have equal worth.
        {QLatin1String{"worth"}, 1.0},
        {QLatin1String{"idempotent"}, isIdempotent},
        {QLatin1String{"deadlineMs"}, static_cast<qint64>(timeout.count())},
        {QLatin1String{"answerTargetMs"}, static_cast<qint64>(target.count())},
        {QLatin1String{"public"}, field(spec, "public").toBool()},
        {QLatin1String{"retryBudget"}, std::clamp(field(spec, "max_attempts").toInt(1) - 1, 0, maxRetries)},
    };
}

static void addService(Services &services, const QString &name, const QJsonObject &spec, const double retryRatio)
{
    const int connections = std::max(field(spec, "max_connections").toInt(defaultConnections), 1);
    services.services[name] = {
        {QLatin1String{"name"}, name},
        // Placeholder: each backend server reports its number of slots itself.
        {QLatin1String{"slots"}, 1},
        {QLatin1String{"connections"}, connections},
        {QLatin1String{"retryRatio"}, retryRatio},
        {QLatin1String{"healthPath"}, field(spec, "health_path").toString()},
    };
}

[[nodiscard]] static QJsonObject routeOf(const QString &name, const QJsonObject &spec, const QJsonArray &targets)
{
    return {
        {QLatin1String{"name"}, name},
        {QLatin1String{"host"}, field(spec, "host").toString().toLower()},
        {QLatin1String{"prefix"}, field(spec, "prefix").toString()},
        {QLatin1String{"kind"}, name},
        {QLatin1String{"targets"}, targets},
    };
}

// Keys that stand in several accounts count for the first one: one account in doubt must not keep a configuration out of force.
[[nodiscard]] static QJsonObject accountOf(const QString &name, const QJsonObject &spec, std::set<std::string> &digests)
{
    QJsonArray keys;
    for (const QJsonValue value : field(spec, "api_keys").toArray()) {
        const std::string digest = Secret{value.toString().toStdString()}.digest();
        if (!digest.empty() && digests.insert(digest).second) {
            keys.append(QString::fromStdString(digest));
        }
    }
    QJsonObject account{
        {QLatin1String{"name"}, name},
        {QLatin1String{"ratePerSecond"}, std::max(field(spec, "rate_per_s").toDouble(), 0.0)},
        {QLatin1String{"burst"}, std::max(field(spec, "burst").toDouble(), 0.0)},
        {QLatin1String{"keyDigests"}, keys},
    };
    if (field(spec, "priority").isDouble()) {
        account.insert(QLatin1String{"priority"}, priorityOf(field(spec, "priority")));
    }
    return account;
}

[[nodiscard]] static QJsonObject limitsOf(const QJsonObject &spec)
{
    QJsonObject limits;
    const QJsonValue headerBytes = field(spec, "max_header_bytes");
    const QJsonValue bodyBytes = field(spec, "max_body_bytes");
    if (headerBytes.isDouble()) {
        limits.insert(QLatin1String{"headerBytes"}, headerBytes);
    }
    if (bodyBytes.isDouble()) {
        limits.insert(QLatin1String{"bodyBytes"}, bodyBytes);
    }
    if (const auto header = parseDuration(field(spec, "header_timeout").toString().toStdString())) {
        limits.insert(QLatin1String{"headerTimeoutMs"}, static_cast<qint64>(header->count()));
    }
    if (const auto idle = parseDuration(field(spec, "idle_timeout").toString().toStdString())) {
        limits.insert(QLatin1String{"idleTimeoutMs"}, static_cast<qint64>(idle->count()));
    }
    return limits;
}

} // namespace internal

Result<AcceptedConfiguration> readConfiguration(const QByteArray &document, const double retryRatio)
{
    const QJsonObject root = QJsonDocument::fromJson(document).object();
    bool isNumber = false;
    const std::uint64_t version = internal::field(root, "version").toString().toULongLong(&isNumber, internal::hexadecimal);
    if (!isNumber || version == 0 || !internal::field(root, "resources").isArray()) {
        return tl::unexpected{Error{ErrorCode::malformed, "the configuration has no valid version or no resources"}};
    }
    internal::Services services;
    QJsonArray routes;
    QJsonObject limits;
    QJsonArray accounts;
    std::set<QString> accountNames;
    std::set<std::string> digests;
    const QJsonArray resources = internal::field(root, "resources").toArray();
    for (const QJsonValue value : resources) {
        const QString type = internal::field(value.toObject(), "resource_type").toString();
        const QString name = internal::field(internal::field(value.toObject(), "metadata").toObject(), "name").toString();
        const QJsonObject spec = internal::field(value.toObject(), "spec").toObject();
        if (type == QLatin1String{"services"}) {
            internal::addService(services, name, spec, retryRatio);
        } else if (type == QLatin1String{"tenants"} && !name.isEmpty() && accountNames.insert(name).second) {
            accounts.append(internal::accountOf(name, spec, digests));
        } else if (type == QLatin1String{"limits"}) {
            limits = internal::limitsOf(spec);
        } else if (type == QLatin1String{"routes"}) {
            const QJsonArray targets = internal::targetsOf(spec);
            routes.append(internal::routeOf(name, spec, targets));
            for (const QJsonValue target : targets) {
                services.kinds[internal::field(target.toObject(), "service").toString()].append(internal::kindOf(name, spec));
            }
        }
    }
    QJsonArray list;
    for (const auto &[name, kinds] : services.kinds) {
        if (!services.services.contains(name)) {
            internal::addService(services, name, {}, retryRatio);
        }
    }
    for (auto &[name, service] : services.services) {
        service.insert(QLatin1String{"kinds"}, services.kinds[name]);
        list.append(service);
    }
    const QJsonObject manifest{
        {QLatin1String{"services"}, list}, {QLatin1String{"routes"}, routes}, {QLatin1String{"accounts"}, accounts}, {QLatin1String{"callerLimits"}, limits}};
    return AcceptedConfiguration{.version = version, .manifest = QJsonDocument{manifest}.toJson(QJsonDocument::Compact)};
}

} // namespace egretlatch::platform
