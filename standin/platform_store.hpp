#ifndef STANDIN_PLATFORM_STORE_HPP
#define STANDIN_PLATFORM_STORE_HPP

#include <cstdint>
#include <map>
#include <string>

#include <egretlatch/platform/requests.hpp>

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
    [[nodiscard]] egretlatch::platform::Outcome apply(const egretlatch::platform::Request &request);

private:
    [[nodiscard]] egretlatch::platform::Outcome read(const egretlatch::platform::TableRead &read) const;
    [[nodiscard]] egretlatch::platform::Outcome scan(const egretlatch::platform::TableScan &scan) const;
    [[nodiscard]] egretlatch::platform::Outcome write(const egretlatch::platform::TableWrite &write);
    [[nodiscard]] egretlatch::platform::Outcome put(const egretlatch::platform::ObjectPut &put);
    [[nodiscard]] egretlatch::platform::Outcome get(const egretlatch::platform::ObjectGet &get) const;
    [[nodiscard]] egretlatch::platform::Outcome list(const egretlatch::platform::ObjectList &list) const;

    std::map<std::string, egretlatch::platform::Row> m_rows;
    std::map<std::string, QByteArray> m_objects;
    std::uint64_t m_lastVersion{};
};

} // namespace standin

#endif
