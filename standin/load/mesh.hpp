#ifndef STANDIN_LOAD_MESH_HPP
#define STANDIN_LOAD_MESH_HPP

#include <map>
#include <string>
#include <vector>

#include <QByteArray>

namespace standin::load
{

/*! @brief Addresses of a running deployment, as scripts/mesh prints them. */
struct Mesh
{
    /*! @brief Base URLs of the daemons; any of them is an entry. */
    std::vector<std::string> entries;
    /*! @brief Base URLs of what takes `/control`: the backend servers by service, and the platform as `platform`. */
    std::map<std::string, std::vector<std::string>> controls;
    /*! @brief Path of the manifest in force; empty if the mesh does not say. */
    std::string manifestPath;

    friend bool operator==(const Mesh &, const Mesh &) = default;
};

/**
 * @brief Reads the line that scripts/mesh prints.
 * @param json The line; members that are missing count as empty.
 * @return The addresses.
 */
[[nodiscard]] Mesh parseMesh(const QByteArray &json);

} // namespace standin::load

#endif
