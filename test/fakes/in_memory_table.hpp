#ifndef TEST_FAKES_IN_MEMORY_TABLE_HPP
#define TEST_FAKES_IN_MEMORY_TABLE_HPP

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include <egretlatch/store/requests.hpp>

namespace fakes
{

/*! @brief In-memory table of the platform with atomic conditional writes of several rows. */
class InMemoryTable
{
public:
    /**
     * @brief Applies a request.
     * @param request Read, scan or write of the table; requests for objects fail with `notFound`.
     * @return The answer of a platform without failures.
     */
    [[nodiscard]] egretlatch::store::Outcome apply(const egretlatch::store::Request &request)
    {
        using namespace egretlatch::store;
        if (const auto *const read = std::get_if<TableRead>(&request)) {
            return readRange(read->key, read->key, 1);
        }
        if (const auto *const scan = std::get_if<TableScan>(&request)) {
            return readRange(std::max(scan->prefix, scan->after), scan->prefix + "\x7f", scan->limit);
        }
        if (const auto *const write = std::get_if<TableWrite>(&request)) {
            return applyWrite(*write);
        }
        return tl::unexpected{egretlatch::Error{egretlatch::ErrorCode::notFound, "the table stores no objects"}};
    }

    /*! @brief Returns the number of writes that were applied. */
    [[nodiscard]] int writes() const noexcept
    {
        return m_writes;
    }

private:
    [[nodiscard]] egretlatch::store::Outcome readRange(const std::string &first, const std::string &last, const int limit) const
    {
        egretlatch::store::RowsReply reply;
        for (auto row = m_rows.lower_bound(first); row != m_rows.end() && row->first <= last && static_cast<int>(reply.rows.size()) < limit; ++row) {
            reply.rows.push_back(row->second);
        }
        return reply;
    }

    [[nodiscard]] egretlatch::store::Outcome applyWrite(const egretlatch::store::TableWrite &write)
    {
        for (const auto &condition : write.conditions) {
            const auto row = m_rows.find(condition.key);
            if ((row == m_rows.end() ? 0 : row->second.version) != condition.version) {
                return tl::unexpected{egretlatch::Error{egretlatch::ErrorCode::conflict, condition.key}};
            }
        }
        ++m_writes;
        for (const auto &change : write.writes) {
            m_rows.erase(change.key);
            if (change.value.has_value()) {
                m_rows.emplace(change.key, egretlatch::store::Row{.key = change.key, .value = *change.value, .version = ++m_version});
            }
        }
        return egretlatch::store::WrittenReply{};
    }

    std::map<std::string, egretlatch::store::Row> m_rows;
    std::uint64_t m_version{};
    int m_writes{};
};

} // namespace fakes

#endif
