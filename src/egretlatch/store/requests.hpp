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

namespace egretlatch::store
{

/*! @brief A row of the platform's table. */
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

/*! @brief Reads rows in the order of their keys. */
struct TableScan
{
    std::string prefix;
    /*! @brief Only keys above this one; empty for all. */
    std::string after;
    int limit{};

    friend bool operator==(const TableScan &, const TableScan &) = default;
};

/*! @brief What must hold of a row for a write to take effect. */
struct RowCondition
{
    std::string key;
    /*! @brief The version that it must have; zero for a row that must not exist. */
    std::uint64_t version{};

    friend bool operator==(const RowCondition &, const RowCondition &) = default;
};

/*! @brief A new value of a row, or its end. */
struct RowWrite
{
    std::string key;
    /*! @brief Nothing to erase the row. */
    std::optional<std::string> value;

    friend bool operator==(const RowWrite &, const RowWrite &) = default;
};

/*! @brief Writes rows, all or none, if all conditions hold. */
struct TableWrite
{
    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;

    friend bool operator==(const TableWrite &, const TableWrite &) = default;
};

/*! @brief Stores an object whole; storing the same bytes again changes nothing. */
struct ObjectPut
{
    std::string name;
    QByteArray bytes;

    friend bool operator==(const ObjectPut &, const ObjectPut &) = default;
};

/*! @brief Fetches an object whole. */
struct ObjectGet
{
    std::string name;

    friend bool operator==(const ObjectGet &, const ObjectGet &) = default;
};

/*! @brief Lists names of objects in order. */
struct ObjectList
{
    std::string prefix;
    /*! @brief Only names above this one; empty for all. */
    std::string after;
    int limit{};

    friend bool operator==(const ObjectList &, const ObjectList &) = default;
};

using Request = std::variant<TableRead, TableScan, TableWrite, ObjectPut, ObjectGet, ObjectList>;

/*! @brief Rows that a read or a scan found; a read of a missing row finds none. */
struct RowsReply
{
    std::vector<Row> rows;

    friend bool operator==(const RowsReply &, const RowsReply &) = default;
};

/*! @brief A write took effect. */
struct WrittenReply
{
    friend bool operator==(const WrittenReply &, const WrittenReply &) = default;
};

/*! @brief Bytes of an object. */
struct ObjectReply
{
    QByteArray bytes;

    friend bool operator==(const ObjectReply &, const ObjectReply &) = default;
};

/*! @brief Names of objects. */
struct NamesReply
{
    std::vector<std::string> names;

    friend bool operator==(const NamesReply &, const NamesReply &) = default;
};

using Reply = std::variant<RowsReply, WrittenReply, ObjectReply, NamesReply>;

/**
 * @brief A reply, or why there is none.
 *
 * `conflict`: a condition did not hold, nothing was written. `notFound`: no such object. `rateLimited` and
 * `unavailable`: nothing was done. `timedOut`: a write may have taken effect, and may still do so.
 */
using Outcome = Result<Reply>;

/*! @brief Names one request to the platform among those of a daemon. */
struct RequestId
{
    std::uint64_t value{};

    friend auto operator<=>(const RequestId &, const RequestId &) = default;
};

} // namespace egretlatch::store

#endif
