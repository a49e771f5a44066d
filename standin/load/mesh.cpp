#include <load/mesh.hpp>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace standin::load
{

namespace internal
{

[[nodiscard]] static std::map<std::string, std::vector<std::string>> urlsByService(const QJsonObject &object)
{
    std::map<std::string, std::vector<std::string>> result;
    for (auto member = object.constBegin(); member != object.constEnd(); ++member) {
        std::vector<std::string> &urls = result[member.key().toStdString()];
        const QJsonArray list = member.value().toArray();
        for (const auto &url : list) {
            urls.push_back(url.toString().toStdString());
        }
    }
    return result;
}

} // namespace internal

Mesh parseMesh(const QByteArray &json)
{
    const QJsonObject object = QJsonDocument::fromJson(json).object();
    Mesh mesh;
    for (const auto &[service, urls] : internal::urlsByService(object[u"entries"].toObject())) {
        mesh.entries.insert(mesh.entries.end(), urls.begin(), urls.end());
    }
    mesh.controls = internal::urlsByService(object[u"backends"].toObject());
    if (object[u"platform"].isString()) {
        mesh.controls["platform"] = {object[u"platform"].toString().toStdString()};
    }
    mesh.manifestPath = object[u"manifest"].toString().toStdString();
    return mesh;
}

} // namespace standin::load
