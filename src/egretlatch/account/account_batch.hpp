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

/*! @brief Part of one daemon's account, as one object of the store; all refusals in it were made in one minute. */
struct AccountBatch
{
    DaemonId daemon;
    Incarnation incarnation;
    /*! @brief Counts the batches of one life from one, so that a reader sees if one is missing. */
    std::uint64_t sequence{};
    /*! @brief The minute that it belongs to. */
    WallTime minute;
    std::vector<RefusalRecord> refusals;
    /*! @brief What could not be kept; in the last minute of its span. */
    std::vector<DroppedRefusals> dropped;
    /*! @brief The daemon ended in good order after this batch; a life without such a batch may have lost its last minute. */
    bool isLast{};

    friend bool operator==(const AccountBatch &, const AccountBatch &) = default;
};

/*! @brief Prefix of the names of all batches. */
inline constexpr const char *accountPrefix = "account/";

/**
 * @brief Gives the prefix of the batches of a minute; in the order of time.
 * @param time A time in that minute.
 * @return The prefix.
 */
[[nodiscard]] std::string minutePrefix(WallTime time);

/**
 * @brief Gives the name of the object with a batch.
 * @param batch The batch.
 * @return The name, below minutePrefix().
 */
[[nodiscard]] std::string objectName(const AccountBatch &batch);

/**
 * @brief Writes a batch.
 * @param batch The batch.
 * @return JSON, compressed by zlib behind four bytes of its length, as qCompress() does.
 */
[[nodiscard]] QByteArray encodeBatch(const AccountBatch &batch);

/**
 * @brief Reads a batch.
 * @param bytes The object; anything may stand there.
 * @return The batch, or nothing.
 */
[[nodiscard]] std::optional<AccountBatch> decodeBatch(const QByteArray &bytes);

} // namespace egretlatch::account

#endif
