#ifndef STANDIN_LOAD_MESH_HPP
#define STANDIN_LOAD_MESH_HPP

#include <map>
#include <string>
#include <vector>

#include <QByteArray>

namespace standin::load
{

/*! @brief Addresses of a running deployment, as printed by scripts/mesh. */
struct Mesh
{
    /*! @brief Base URLs of the daemons, any of which accepts calls as an entry. */
    std::vector<std::string> entries;
    /*! @brief Base URLs of the processes that accept `POST /control`: the backend servers by service, and the platform as `platform`. */
    std::map<std::string, std::vector<std::string>> controls;
    /*! @brief Path of the manifest in force; empty if not given. */
    std::string manifestPath;

    friend bool operator==(const Mesh &, const Mesh &) = default;
};

/**
 * @brief Parses the JSON line printed by scripts/mesh.
 * @param json The line; missing members are treated as empty.
 * @return The addresses.
 */
[[nodiscard]] Mesh parseMesh(const QByteArray &json);

} // namespace standin::load

#endif
