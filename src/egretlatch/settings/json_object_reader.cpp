#include <egretlatch/settings/json_object_reader.hpp>

#include <algorithm>
#include <cmath>

#include <QJsonArray>
#include <QJsonDocument>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <egretlatch/core/qt_text.hpp>

namespace egretlatch::settings
{

namespace internal
{

[[nodiscard]] static std::string escapePointer(const std::string_view key)
{
    std::string escaped;
    for (const char character : key) {
        if (character == '~') {
            escaped += "~0";
        } else if (character == '/') {
            escaped += "~1";
        } else {
            escaped.push_back(character);
        }
    }
    return escaped;
}

} // namespace internal

std::string describe(const QJsonValue &value)
{
    switch (value.type()) {
    case QJsonValue::Null:
        return "null";
    case QJsonValue::Bool:
        return value.toBool() ? "true" : "false";
    case QJsonValue::Double:
        return fmt::format("{}", value.toDouble());
    case QJsonValue::String:
        return fmt::format("\"{}\"", value.toString().toStdString());
    case QJsonValue::Array:
        return "a list";
    case QJsonValue::Object:
        return "an object";
    case QJsonValue::Undefined:
        break;
    }
    return "nothing";
}

QJsonValue parseJson(const QByteArray &bytes, Problems &problems)
{
    QJsonParseError error;
    const QJsonDocument document = QJsonDocument::fromJson(bytes, &error);
    if (error.error != QJsonParseError::NoError) {
        const std::string found = fmt::format("text that is not JSON at byte {}: {}", error.offset, error.errorString().toStdString());
        problems.push_back({.pointer = "", .found = found, .allowed = "a JSON document"});
        return {};
    }
    if (document.isArray()) {
        return document.array();
    }
    return document.object();
}

JsonObjectReader::JsonObjectReader(const QJsonValue &value, std::string pointer, Problems &problems)
    : m_object{value.toObject()}
    , m_pointer{std::move(pointer)}
    , m_problems{problems}
    , m_isObject{value.isObject()}
{
    if (!m_isObject) {
        m_problems.push_back({.pointer = m_pointer, .found = describe(value), .allowed = "an object"});
    }
}

std::string JsonObjectReader::pointerTo(const std::string_view key) const
{
    return m_pointer + "/" + internal::escapePointer(key);
}

void JsonObjectReader::report(const std::string_view key, std::string found, std::string allowed, const Severity severity)
{
    m_problems.push_back({.severity = severity, .pointer = pointerTo(key), .found = std::move(found), .allowed = std::move(allowed)});
}

QJsonValue JsonObjectReader::readMember(const std::string_view key, const bool required, const std::string &allowed)
{
    m_readKeys.emplace(key);
    const auto found = m_object.constFind(toQt(key));
    if (found != m_object.constEnd()) {
        return found.value();
    }
    if (required && m_isObject) {
        report(key, "nothing", allowed);
    }
    return {QJsonValue::Undefined};
}

std::string JsonObjectReader::text(const std::string_view key, const std::optional<std::string> &fallback)
{
    const std::string allowed = "text";
    const QJsonValue value = readMember(key, !fallback.has_value(), allowed);
    if (value.isUndefined()) {
        return fallback.value_or("");
    }
    if (!value.isString()) {
        report(key, describe(value), allowed);
        return {};
    }
    std::string result = value.toString().toStdString();
    if (result.empty() && !fallback.has_value()) {
        report(key, "empty text", "text of at least one character");
    }
    return result;
}

std::string JsonObjectReader::choice(const std::string_view key, const std::vector<std::string> &choices, const std::optional<std::string> &fallback)
{
    const std::string allowed = fmt::format("one of {}", fmt::join(choices, ", "));
    const QJsonValue value = readMember(key, !fallback.has_value(), allowed);
    if (value.isUndefined()) {
        return fallback.value_or(choices.front());
    }
    std::string result = value.toString().toStdString();
    if (std::find(choices.begin(), choices.end(), result) == choices.end()) {
        report(key, describe(value), allowed);
        return choices.front();
    }
    return result;
}

std::int64_t JsonObjectReader::integer(const std::string_view key, const Range<std::int64_t> range, const std::optional<std::int64_t> fallback)
{
    const std::string allowed = fmt::format("a whole number from {} to {}", range.min, range.max);
    const QJsonValue value = readMember(key, !fallback.has_value(), allowed);
    if (value.isUndefined()) {
        return fallback.value_or(range.min);
    }
    const double number = value.toDouble(std::nan(""));
    const bool isWhole = value.isDouble() && std::floor(number) == number;
    const bool isInRange = isWhole && number >= static_cast<double>(range.min) && number <= static_cast<double>(range.max);
    if (!isInRange) {
        report(key, describe(value), allowed);
        return range.min;
    }
    return static_cast<std::int64_t>(number);
}

double JsonObjectReader::number(const std::string_view key, const Range<double> range, const std::optional<double> fallback)
{
    const std::string allowed = fmt::format("a number from {} to {}", range.min, range.max);
    const QJsonValue value = readMember(key, !fallback.has_value(), allowed);
    if (value.isUndefined()) {
        return fallback.value_or(range.min);
    }
    const double result = value.toDouble(std::nan(""));
    const bool isInRange = value.isDouble() && result >= range.min && result <= range.max;
    if (!isInRange) {
        report(key, describe(value), allowed);
        return range.min;
    }
    return result;
}

bool JsonObjectReader::flag(const std::string_view key, const std::optional<bool> fallback)
{
    const std::string allowed = "true or false";
    const QJsonValue value = readMember(key, !fallback.has_value(), allowed);
    if (value.isUndefined()) {
        return fallback.value_or(false);
    }
    if (!value.isBool()) {
        report(key, describe(value), allowed);
        return false;
    }
    return value.toBool();
}

std::chrono::milliseconds
JsonObjectReader::milliseconds(const std::string_view key, const Range<std::int64_t> range, const std::optional<std::int64_t> fallback)
{
    return std::chrono::milliseconds{integer(key, range, fallback)};
}

void JsonObjectReader::list(const std::string_view key, const bool required, const ElementReader &read)
{
    const QJsonValue value = readMember(key, required, "a list");
    if (value.isUndefined()) {
        return;
    }
    if (!value.isArray()) {
        report(key, describe(value), "a list");
        return;
    }
    std::size_t index = 0;
    const QJsonArray elements = value.toArray();
    for (const auto &element : elements) {
        read(element, fmt::format("{}/{}", pointerTo(key), index));
        ++index;
    }
}

std::optional<QJsonValue> JsonObjectReader::member(const std::string_view key)
{
    const QJsonValue value = readMember(key, false, "an object");
    if (value.isUndefined()) {
        return std::nullopt;
    }
    return value;
}

void JsonObjectReader::finish()
{
    for (auto member = m_object.constBegin(); member != m_object.constEnd(); ++member) {
        const std::string key = member.key().toStdString();
        if (!m_readKeys.contains(key)) {
            report(key, "an unknown key", fmt::format("one of {}", fmt::join(m_readKeys, ", ")));
        }
    }
}

} // namespace egretlatch::settings
