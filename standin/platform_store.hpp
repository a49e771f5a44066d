#ifndef STANDIN_PLATFORM_STORE_HPP
#define STANDIN_PLATFORM_STORE_HPP

#include <cstdint>
#include <map>
#include <string>

#include <egretlatch/store/requests.hpp>

namespace standin
{

/*! @brief A transactional table and an object store in memory. */
class PlatformStore
{
public:
    /**
     * @brief Carries out a request.
     * @param request The request.
     * @return The reply; `conflict` and `notFound` as the interface says.
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
