#ifndef EGRETLATCH_STORE_REQUESTS_HPP
#define EGRETLATCH_STORE_REQUESTS_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <QByteArray>

#include <egretlatch/core/error.hpp>
#include <egretlatch/store/store_time.hpp>

namespace egretlatch::store
{

/*! @brief Row of the platform's table. */
struct Row
{
    std::string key;
    std::string value;
    /*! @brief Changes with each write of the row; never zero. */
    std::uint64_t version{};

    friend bool operator==(const Row &, const Row &) = default;
};

/*! @brief Reads one row. */
struct TableRead
{
    std::string key;

    friend bool operator==(const TableRead &, const TableRead &) = default;
};

/*! @brief Reads rows with a key prefix in the order of their keys. */
struct TableScan
{
    std::string prefix;
    /*! @brief Exclusive lower bound of the keys; empty for all. */
    std::string after;
    int limit{};

    friend bool operator==(const TableScan &, const TableScan &) = default;
};

/*! @brief Precondition on a row for a write to take effect. */
struct RowCondition
{
    std::string key;
    /*! @brief Required version; zero if the row must not exist. */
    std::uint64_t version{};

    friend bool operator==(const RowCondition &, const RowCondition &) = default;
};

/*! @brief New value of a row, or its deletion. */
struct RowWrite
{
    std::string key;
    /*! @brief New value; no value deletes the row. */
    std::optional<std::string> value;

    friend bool operator==(const RowWrite &, const RowWrite &) = default;
};

/*! @brief Writes rows atomically if all conditions hold. */
struct TableWrite
{
    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;

    friend bool operator==(const TableWrite &, const TableWrite &) = default;
};

/*! @brief Stores a whole object; storing the same bytes again has no effect. */
struct ObjectPut
{
    std::string name;
    QByteArray bytes;

    friend bool operator==(const ObjectPut &, const ObjectPut &) = default;
};

/*! @brief Fetches a whole object. */
struct ObjectGet
{
    std::string name;

    friend bool operator==(const ObjectGet &, const ObjectGet &) = default;
};

/*! @brief Lists object names with a prefix in order. */
struct ObjectList
{
    std::string prefix;
    /*! @brief Exclusive lower bound of the names; empty for all. */
    std::string after;
    int limit{};

    friend bool operator==(const ObjectList &, const ObjectList &) = default;
};

using Request = std::variant<TableRead, TableScan, TableWrite, ObjectPut, ObjectGet, ObjectList>;

/*! @brief Rows returned by a read or a scan; empty for a read of a missing row. */
struct RowsReply
{
    std::vector<Row> rows;
    /*! @brief Time of the store's clock; nothing from a store without one. */
    std::optional<StoreTime> now{};

    friend bool operator==(const RowsReply &, const RowsReply &) = default;
};

/*! @brief Confirmation that a write took effect. */
struct WrittenReply
{
    /*! @brief Time of the store's clock; nothing from a store without one. */
    std::optional<StoreTime> now{};

    friend bool operator==(const WrittenReply &, const WrittenReply &) = default;
};

/*! @brief Content of an object. */
struct ObjectReply
{
    QByteArray bytes;

    friend bool operator==(const ObjectReply &, const ObjectReply &) = default;
};

/*! @brief Object names. */
struct NamesReply
{
    std::vector<std::string> names;

    friend bool operator==(const NamesReply &, const NamesReply &) = default;
};

using Reply = std::variant<RowsReply, WrittenReply, ObjectReply, NamesReply>;

/**
 * @brief Reply, or the error instead of one.
 *
 * `conflict`: a condition did not hold, nothing was written. `notFound`: the object does not exist. `rateLimited` and
 * `unavailable`: nothing was done. `timedOut`: a write may have taken effect or may still do so.
 */
using Outcome = Result<Reply>;

/**
 * @brief Returns the time of the store's clock that a reply carries.
 * @param outcome The outcome of a request.
 * @return The time; nothing for an error or a reply without it.
 */
[[nodiscard]] inline std::optional<StoreTime> clockOf(const Outcome &outcome)
{
    if (!outcome.has_value()) {
        return std::nullopt;
    }
    if (const auto *const rows = std::get_if<RowsReply>(&*outcome)) {
        return rows->now;
    }
    const auto *const written = std::get_if<WrittenReply>(&*outcome);
    return written == nullptr ? std::nullopt : written->now;
}

/*! @brief Identifier of a request to the platform; unique within a daemon. */
struct RequestId
{
    std::uint64_t value{};

    friend auto operator<=>(const RequestId &, const RequestId &) = default;
};

} // namespace egretlatch::store

#endif
