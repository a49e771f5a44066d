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

/*! @brief One refusal with what the account keeps of its request. */
struct RefusalRecord
{
    Refusal refusal;
    Verdict verdict{};
    Uuid root;
    /*! @brief xxHash of the request key; zero without one. The key itself is not kept. */
    std::uint64_t keyFingerprint{};
    std::string service;
    std::string kind;
    /*! @brief Priority as it stood when the request was refused. */
    int priority{};
    /*! @brief Worth as it stood when the request was refused. */
    double worth{};
    WallTime time;

    friend bool operator==(const RefusalRecord &, const RefusalRecord &) = default;
};

/*! @brief Refusals that the account could not keep. */
struct DroppedRefusals
{
    std::uint64_t count{};
    WallTime first;
    WallTime last;

    friend bool operator==(const DroppedRefusals &, const DroppedRefusals &) = default;
};

/**
 * @brief Writes a record for the account.
 * @param record The record.
 * @return JSON; times in milliseconds since 1970.
 */
[[nodiscard]] QJsonObject toJson(const RefusalRecord &record);

/**
 * @brief Reads a record of the account.
 * @param object What toJson() gave.
 * @return The record, or nothing if anything else stands there.
 */
[[nodiscard]] std::optional<RefusalRecord> refusalRecordFromJson(const QJsonObject &object);

/**
 * @brief Explains a refusal to the member whose request it was.
 * @param record The record.
 * @return A few sentences of plain English.
 */
[[nodiscard]] std::string toSentence(const RefusalRecord &record);

} // namespace egretlatch::account

#endif
