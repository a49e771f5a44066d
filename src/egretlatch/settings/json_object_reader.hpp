#ifndef EGRETLATCH_SETTINGS_JSON_OBJECT_READER_HPP
#define EGRETLATCH_SETTINGS_JSON_OBJECT_READER_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <QJsonObject>

#include <egretlatch/settings/problem.hpp>

namespace egretlatch::settings
{

/*! @brief Range of allowed numbers; both bounds are included. */
template<typename Number>
struct Range
{
    Number min{};
    Number max{};
};

/**
 * @brief Reads the members of a JSON object and collects all problems found in them.
 *
 * Each getter returns a usable value even if the member is invalid, so that one pass finds every problem.
 * The caller must call finish() once all members have been read.
 */
class JsonObjectReader
{
public:
    using ElementReader = std::function<void(const QJsonValue &element, const std::string &pointer)>;

    /**
     * @brief Builds a reader.
     * @param value The value; a problem is reported if it is not an object.
     * @param pointer JSON pointer of the value.
     * @param problems Receives the problems; must outlive the reader.
     */
    JsonObjectReader(const QJsonValue &value, std::string pointer, Problems &problems);

    /**
     * @brief Reads text.
     * @param key Name of the member.
     * @param fallback Value if the member is missing; without one, the member is required.
     * @return The text; empty if the member is invalid.
     */
    [[nodiscard]] std::string text(std::string_view key, const std::optional<std::string> &fallback = std::nullopt);

    /**
     * @brief Reads one of several allowed texts.
     * @param key Name of the member.
     * @param choices The allowed texts.
     * @param fallback Value if the member is missing; without one, the member is required.
     * @return The text; the first of `choices` if the member is invalid.
     */
    [[nodiscard]] std::string choice(std::string_view key, const std::vector<std::string> &choices, const std::optional<std::string> &fallback = std::nullopt);

    /**
     * @brief Reads an integer.
     * @param key Name of the member.
     * @param range The allowed numbers.
     * @param fallback Value if the member is missing; without one, the member is required.
     * @return The number; the minimum of the range if the member is invalid.
     */
    [[nodiscard]] std::int64_t integer(std::string_view key, Range<std::int64_t> range, std::optional<std::int64_t> fallback = std::nullopt);

    /**
     * @brief Reads a number.
     * @param key Name of the member.
     * @param range The allowed numbers.
     * @param fallback Value if the member is missing; without one, the member is required.
     * @return The number; the minimum of the range if the member is invalid.
     */
    [[nodiscard]] double number(std::string_view key, Range<double> range, std::optional<double> fallback = std::nullopt);

    /**
     * @brief Reads a Boolean.
     * @param key Name of the member.
     * @param fallback Value if the member is missing; without one, the member is required.
     * @return The value; false if the member is invalid.
     */
    [[nodiscard]] bool flag(std::string_view key, std::optional<bool> fallback = std::nullopt);

    /**
     * @brief Reads a duration, written as an integer number of milliseconds.
     * @param key Name of the member.
     * @param range The allowed durations, in milliseconds.
     * @param fallback Value if the member is missing; without one, the member is required.
     * @return The duration; the minimum of the range if the member is invalid.
     */
    [[nodiscard]] std::chrono::milliseconds milliseconds(std::string_view key, Range<std::int64_t> range, std::optional<std::int64_t> fallback = std::nullopt);

    /**
     * @brief Reads a list.
     * @param key Name of the member.
     * @param required True if the member must be present.
     * @param read Called with each element and its JSON pointer.
     */
    void list(std::string_view key, bool required, const ElementReader &read);

    /**
     * @brief Returns a member, such as a nested object, without checking its type.
     * @param key Name of the member.
     * @return The value; nothing if the member is missing.
     */
    [[nodiscard]] std::optional<QJsonValue> member(std::string_view key);

    /**
     * @brief Returns the JSON pointer of a member.
     * @param key Name of the member.
     * @return The pointer, escaped as in RFC 6901.
     */
    [[nodiscard]] std::string pointerTo(std::string_view key) const;

    /*! @brief Reports each member that no getter has read as an unknown key. */
    void finish();

    /**
     * @brief Reports a problem with a member.
     * @param key Name of the member.
     * @param found Description of the present value.
     * @param allowed Description of the allowed values.
     * @param severity Severity; a document with an error cannot be used.
     */
    void report(std::string_view key, std::string found, std::string allowed, Severity severity = Severity::error);

private:
    [[nodiscard]] QJsonValue readMember(std::string_view key, bool required, const std::string &allowed);

    QJsonObject m_object;
    std::string m_pointer;
    Problems &m_problems;
    std::set<std::string> m_readKeys;
    bool m_isObject;
};

/**
 * @brief Describes a JSON value in readable text.
 * @param value Any value.
 * @return A short text such as `"abc"`, `12`, `a list`.
 */
[[nodiscard]] std::string describe(const QJsonValue &value);

/**
 * @brief Parses JSON text.
 * @param bytes The text.
 * @param problems Receives a problem with the byte offset if the text is not JSON.
 * @return The document's value; null if the text is not JSON.
 */
[[nodiscard]] QJsonValue parseJson(const QByteArray &bytes, Problems &problems);

} // namespace egretlatch::settings

#endif
