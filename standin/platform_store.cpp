#include <platform_store.hpp>

namespace standin
{

using namespace egretlatch;

namespace internal
{

template<typename Map>
[[nodiscard]] static auto firstAfter(const Map &map, const std::string &prefix, const std::string &after)
{
    return after < prefix ? map.lower_bound(prefix) : map.upper_bound(after);
}

template<typename Map, typename Visitor>
static void visitPrefix(const Map &map, const std::string &prefix, const std::string &after, const int limit, const Visitor &visit)
{
    int count = 0;
    for (auto entry = firstAfter(map, prefix, after); entry != map.end() && entry->first.starts_with(prefix) && count < limit; ++entry) {
        visit(*entry);
        ++count;
    }
}

} // namespace internal

store::Outcome PlatformStore::apply(const store::Request &request)
{
    if (const auto *const operation = std::get_if<store::TableRead>(&request)) {
        return read(*operation);
    }
    if (const auto *const operation = std::get_if<store::TableScan>(&request)) {
        return scan(*operation);
    }
    if (const auto *const operation = std::get_if<store::TableWrite>(&request)) {
        return write(*operation);
    }
    if (const auto *const operation = std::get_if<store::ObjectPut>(&request)) {
        return put(*operation);
    }
    if (const auto *const operation = std::get_if<store::ObjectGet>(&request)) {
        return get(*operation);
    }
    return list(std::get<store::ObjectList>(request));
}

store::Outcome PlatformStore::read(const store::TableRead &read) const
{
    store::RowsReply reply;
    const auto found = m_rows.find(read.key);
    if (found != m_rows.end()) {
        reply.rows.push_back(found->second);
    }
    return reply;
}

store::Outcome PlatformStore::scan(const store::TableScan &scan) const
{
    store::RowsReply reply;
    internal::visitPrefix(m_rows, scan.prefix, scan.after, scan.limit, [&reply](const auto &entry) {
        reply.rows.push_back(entry.second);
    });
    return reply;
}

store::Outcome PlatformStore::write(const store::TableWrite &write)
{
    for (const store::RowCondition &condition : write.conditions) {
        const auto found = m_rows.find(condition.key);
        const std::uint64_t version = found == m_rows.end() ? 0 : found->second.version;
        if (version != condition.version) {
            return tl::unexpected{Error{ErrorCode::conflict, "a condition did not hold"}};
        }
    }
    for (const store::RowWrite &row : write.writes) {
        if (row.value.has_value()) {
            m_rows[row.key] = {.key = row.key, .value = *row.value, .version = ++m_lastVersion};
        } else {
            m_rows.erase(row.key);
        }
    }
    return store::WrittenReply{};
}

store::Outcome PlatformStore::put(const store::ObjectPut &put)
{
    m_objects[put.name] = put.bytes;
    return store::WrittenReply{};
}

store::Outcome PlatformStore::get(const store::ObjectGet &get) const
{
    const auto found = m_objects.find(get.name);
    if (found == m_objects.end()) {
        return tl::unexpected{Error{ErrorCode::notFound, "no such object"}};
    }
    return store::ObjectReply{.bytes = found->second};
}

store::Outcome PlatformStore::list(const store::ObjectList &list) const
{
    store::NamesReply reply;
    internal::visitPrefix(m_objects, list.prefix, list.after, list.limit, [&reply](const auto &entry) {
        reply.names.push_back(entry.first);
    });
    return reply;
}

} // namespace standin
