#ifndef EGRETLATCH_ACCOUNT_ACCOUNT_BATCH_HPP
#define EGRETLATCH_ACCOUNT_ACCOUNT_BATCH_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <QByteArray>

#include <egretlatch/account/refusal_record.hpp>
#include <egretlatch/core/ids.hpp>

namespace egretlatch::account
{

/*! @brief Part of one daemon's account, stored as one object. All its refusals were made in the same minute. */
struct AccountBatch
{
    DaemonId daemon;
    Incarnation incarnation;
    /*! @brief Numbers the batches of one incarnation from 1, so that a reader detects missing ones. */
    std::uint64_t sequence{};
    /*! @brief Start of the minute in which the refusals were made. */
    WallTime minute;
    std::vector<RefusalRecord> refusals;
    /*! @brief Dropped refusals; each entry belongs to the batch of the last minute of its time span. */
    std::vector<DroppedRefusals> dropped;
    /*! @brief Marks the last batch before a clean shutdown. An incarnation without such a batch may have lost its last minute. */
    bool isLast{};

    friend bool operator==(const AccountBatch &, const AccountBatch &) = default;
};

/*! @brief Prefix of the object names of all batches. */
inline constexpr const char *accountPrefix = "account/";

/**
 * @brief Returns the object name prefix of the batches of a minute. Prefixes sort by time.
 * @param time Any time in that minute.
 * @return Prefix of the object names.
 */
[[nodiscard]] std::string minutePrefix(WallTime time);

/**
 * @brief Returns the object name of a batch.
 * @param batch The batch.
 * @return Object name, which starts with minutePrefix().
 */
[[nodiscard]] std::string objectName(const AccountBatch &batch);

/**
 * @brief Encodes a batch.
 * @param batch Batch to encode.
 * @return JSON in the format of qCompress(): four bytes of uncompressed length, then zlib data.
 */
[[nodiscard]] QByteArray encodeBatch(const AccountBatch &batch);

/**
 * @brief Decodes a batch.
 * @param bytes Content of the object; may be arbitrary data.
 * @return Batch, or nothing if the data is not a valid batch.
 */
[[nodiscard]] std::optional<AccountBatch> decodeBatch(const QByteArray &bytes);

} // namespace egretlatch::account

#endif
