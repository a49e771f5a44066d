#ifndef EGRETLATCH_ACCOUNT_REFUSAL_RECORD_HPP
#define EGRETLATCH_ACCOUNT_REFUSAL_RECORD_HPP

#include <cstdint>
#include <optional>
#include <string>

#include <QJsonObject>

#include <egretlatch/account/refusal.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/uuid.hpp>
#include <egretlatch/core/verdict.hpp>

namespace egretlatch::account
{

/*! @brief Refusal with the data of its request that the account stores. */
struct RefusalRecord
{
    Refusal refusal;
    Verdict verdict{};
    Uuid root;
    /*! @brief xxHash of the request key; zero without a key. The key itself is not stored. */
    std::uint64_t keyFingerprint{};
    std::string service;
    std::string kind;
    /*! @brief Priority of the request when it was refused. */
    int priority{};
    /*! @brief Worth of the request when it was refused. */
    double worth{};
    WallTime time;

    friend bool operator==(const RefusalRecord &, const RefusalRecord &) = default;
};

/*! @brief Count and time span of refusals that the account could not store. */
struct DroppedRefusals
{
    std::uint64_t count{};
    WallTime first;
    WallTime last;

    friend bool operator==(const DroppedRefusals &, const DroppedRefusals &) = default;
};

/**
 * @brief Encodes a record for the account.
 * @param record The record.
 * @return JSON object; times in milliseconds since 1970.
 */
[[nodiscard]] QJsonObject toJson(const RefusalRecord &record);

/**
 * @brief Decodes a record of the account.
 * @param object Object as returned by toJson().
 * @return Record, or nothing if the object is not a valid record.
 */
[[nodiscard]] std::optional<RefusalRecord> refusalRecordFromJson(const QJsonObject &object);

/**
 * @brief Explains a refusal in plain English, for the sender of the request.
 * @param record The record.
 * @return A few sentences.
 */
[[nodiscard]] std::string toSentence(const RefusalRecord &record);

} // namespace egretlatch::account

#endif
