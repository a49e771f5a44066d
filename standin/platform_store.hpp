#ifndef STANDIN_PLATFORM_STORE_HPP
#define STANDIN_PLATFORM_STORE_HPP

#include <cstdint>
#include <map>
#include <string>

#include <egretlatch/store/requests.hpp>

namespace standin
{

/*! @brief In-memory transactional table and object store. */
class PlatformStore
{
public:
    /**
     * @brief Applies a request atomically.
     * @param request The request.
     * @return The reply, or the error `conflict` if a condition of a write does not hold and `notFound` for an unknown object.
     */
    [[nodiscard]] egretlatch::store::Outcome apply(const egretlatch::store::Request &request);

private:
    [[nodiscard]] egretlatch::store::Outcome read(const egretlatch::store::TableRead &read) const;
    [[nodiscard]] egretlatch::store::Outcome scan(const egretlatch::store::TableScan &scan) const;
    [[nodiscard]] egretlatch::store::Outcome write(const egretlatch::store::TableWrite &write);
    [[nodiscard]] egretlatch::store::Outcome put(const egretlatch::store::ObjectPut &put);
    [[nodiscard]] egretlatch::store::Outcome get(const egretlatch::store::ObjectGet &get) const;
    [[nodiscard]] egretlatch::store::Outcome list(const egretlatch::store::ObjectList &list) const;

    std::map<std::string, egretlatch::store::Row> m_rows;
    std::map<std::string, QByteArray> m_objects;
    std::uint64_t m_lastVersion{};
};

} // namespace standin

#endif
