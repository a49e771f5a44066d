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

/*! @brief The numbers that may stand in a place, both ends included. */
template<typename Number>
struct Range
{
    Number min{};
    Number max{};
};

/**
 * @brief Reads the members of one JSON object and collects everything that is wrong with them.
 *
 * Each getter gives a usable value even where the member is wrong, so that one pass finds every problem.
 * The caller must call finish() once all members have been read.
 */
class JsonObjectReader
{
public:
    using ElementReader = std::function<void(const QJsonValue &element, const std::string &pointer)>;

    /**
     * @brief Builds a reader.
     * @param value The value; anything but an object is a problem.
     * @param pointer JSON pointer of the value.
     * @param problems Collects what is found; must outlive the reader.
     */
    JsonObjectReader(const QJsonValue &value, std::string pointer, Problems &problems);

    /**
     * @brief Reads text.
     * @param key Name of the member.
     * @param fallback Value if it is missing; without one, the member is required.
     * @return The text, or an empty one if it is wrong.
     */
    [[nodiscard]] std::string text(std::string_view key, const std::optional<std::string> &fallback = std::nullopt);

    /**
     * @brief Reads one of a few words.
     * @param key Name of the member.
     * @param words The words allowed.
     * @param fallback Value if it is missing; without one, the member is required.
     * @return The word, or the first allowed one if it is wrong.
     */
    [[nodiscard]] std::string choice(std::string_view key, const std::vector<std::string> &words, const std::optional<std::string> &fallback = std::nullopt);

    /**
     * @brief Reads a whole number.
     * @param key Name of the member.
     * @param range The numbers allowed.
     * @param fallback Value if it is missing; without one, the member is required.
     * @return The number, or the least allowed one if it is wrong.
     */
    [[nodiscard]] std::int64_t integer(std::string_view key, Range<std::int64_t> range, std::optional<std::int64_t> fallback = std::nullopt);

    /**
     * @brief Reads a number.
     * @param key Name of the member.
     * @param range The numbers allowed.
     * @param fallback Value if it is missing; without one, the member is required.
     * @return The number, or the least allowed one if it is wrong.
     */
    [[nodiscard]] double number(std::string_view key, Range<double> range, std::optional<double> fallback = std::nullopt);

    /**
     * @brief Reads a truth value.
     * @param key Name of the member.
     * @param fallback Value if it is missing; without one, the member is required.
     * @return The value, or false if it is wrong.
     */
    [[nodiscard]] bool flag(std::string_view key, std::optional<bool> fallback = std::nullopt);

    /**
     * @brief Reads a span of time, written as a whole number of milliseconds.
     * @param key Name of the member.
     * @param range The spans allowed.
     * @param fallback Value if it is missing; without one, the member is required.
     * @return The span, or the least allowed one if it is wrong.
     */
    [[nodiscard]] std::chrono::milliseconds milliseconds(std::string_view key, Range<std::int64_t> range, std::optional<std::int64_t> fallback = std::nullopt);

    /**
     * @brief Reads a list.
     * @param key Name of the member.
     * @param required Whether it must be there.
     * @param read Called for each element with its JSON pointer.
     */
    void list(std::string_view key, bool required, const ElementReader &read);

    /**
     * @brief Gives a member that is an object of its own.
     * @param key Name of the member.
     * @return The value, or nothing if it is missing.
     */
    [[nodiscard]] std::optional<QJsonValue> member(std::string_view key);

    /**
     * @brief Gives the JSON pointer of a member.
     * @param key Name of the member.
     * @return The pointer, escaped as in RFC 6901.
     */
    [[nodiscard]] std::string pointerTo(std::string_view key) const;

    /*! @brief Reports each member that no getter asked for. */
    void finish();

    /**
     * @brief Reports a problem of a member.
     * @param key Name of the member.
     * @param found What stands there.
     * @param allowed What may stand there.
     * @param severity Whether the document can still be used.
     */
    void report(std::string_view key, std::string found, std::string allowed, Severity severity = Severity::error);

private:
    [[nodiscard]] QJsonValue take(std::string_view key, bool required, const std::string &allowed);

    QJsonObject m_object;
    std::string m_pointer;
    Problems &m_problems;
    std::set<std::string> m_asked;
    bool m_isObject;
};

/**
 * @brief Describes a JSON value for a person.
 * @param value Any value.
 * @return A short text such as `"abc"`, `12`, `a list`.
 */
[[nodiscard]] std::string describe(const QJsonValue &value);

/**
 * @brief Parses JSON text.
 * @param bytes The text.
 * @param problems Gets a problem with the byte offset if the text is not JSON.
 * @return The document's value; null if the text is not JSON.
 */
[[nodiscard]] QJsonValue parseJson(const QByteArray &bytes, Problems &problems);

} // namespace egretlatch::settings

#endif
