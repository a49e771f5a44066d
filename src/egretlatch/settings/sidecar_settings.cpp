#include <egretlatch/settings/sidecar_settings.hpp>

#include <algorithm>

#include <QJsonObject>
#include <QVariant>

#include <egretlatch/settings/common_readers.hpp>

namespace egretlatch::settings
{

namespace internal
{

constexpr Range<std::int64_t> sidecarPortRange{.min = 1, .max = 65535};
constexpr std::int64_t mebibyte = 1024LL * 1024;
constexpr Range<std::int64_t> memoryRange{.min = mebibyte, .max = 1024 * mebibyte};
constexpr std::int64_t defaultMemory = 8 * mebibyte;

[[nodiscard]] static net::Endpoint readEndpoint(JsonObjectReader &reader, const std::string &key)
{
    const std::string text = reader.text(key);
    const std::optional<net::Endpoint> endpoint = net::Endpoint::parse(text);
    if (!endpoint.has_value()) {
        reader.report(key, "\"" + text + "\"", "ADDRESS:PORT with an IP address");
    }
    return endpoint.value_or(net::Endpoint{});
}

[[nodiscard]] static std::uint16_t readFirstPort(JsonObjectReader &reader)
{
    std::vector<int> ports;
    reader.list("peerPorts", true, [&ports](const QJsonValue &element, const std::string & /*pointer*/) {
        ports.push_back(element.toInt(-1));
    });
    const bool isUsable = !ports.empty() && ports.front() >= sidecarPortRange.min && ports.front() <= sidecarPortRange.max;
    if (!isUsable) {
        reader.report("peerPorts", "no port", "a list whose first number is a port");
        return 0;
    }
    return static_cast<std::uint16_t>(ports.front());
}

[[nodiscard]] static DisabledMechanisms readDisabledMechanisms(JsonObjectReader &reader)
{
    DisabledMechanisms disabledMechanisms;
    reader.list("switchedOff", false, [&](const QJsonValue &element, const std::string & /*pointer*/) {
        const std::string name = element.toString().toStdString();
        const auto found = std::find_if(mechanismNames.begin(), mechanismNames.end(), [&name](const MechanismName &candidate) {
            return candidate.name == name;
        });
        if (found == mechanismNames.end()) {
            reader.report("switchedOff", describe(element), "names of mechanisms");
            return;
        }
        disabledMechanisms.insert(found->mechanism);
    });
    return disabledMechanisms;
}

// Reads the bounds as entries of the form `name=value`, whatever the type of the value.
[[nodiscard]] static std::vector<std::string> readBoundEntries(JsonObjectReader &reader, Problems &problems)
{
    std::vector<std::string> entries;
    const std::optional<QJsonValue> member = reader.member("bounds");
    if (member.has_value() && !member->isObject()) {
        problems.push_back({.pointer = reader.pointerTo("bounds"), .found = describe(*member), .allowed = "an object of bounds by name"});
        return entries;
    }
    const QJsonObject bounds = member.value_or(QJsonValue{}).toObject();
    for (auto bound = bounds.begin(); bound != bounds.end(); ++bound) {
        entries.push_back(bound.key().toStdString() + '=' + bound.value().toVariant().toString().toStdString());
    }
    return entries;
}

} // namespace internal

tl::expected<SidecarSettings, Problems> parseSidecarSettings(const QByteArray &json)
{
    Problems problems;
    const QJsonValue document = parseJson(json, problems);
    if (hasError(problems)) {
        return tl::unexpected{problems};
    }
    JsonObjectReader reader{document, "", problems};
    SidecarSettings settings;
    settings.id = {reader.text("id")};
    settings.region = reader.text("region", "");
    settings.dataCentre = reader.text("dataCentre");
    settings.service = reader.text("service");
    settings.address = reader.text("address");
    settings.callers = internal::readEndpoint(reader, "callers");
    settings.readiness = internal::readEndpoint(reader, "readiness");
    settings.serverReports = internal::readEndpoint(reader, "serverReports");
    if (reader.member("metrics").has_value()) {
        settings.metrics = internal::readEndpoint(reader, "metrics");
    }
    settings.backend = internal::readEndpoint(reader, "backend");
    settings.store = internal::readEndpoint(reader, "store");
    settings.isFirstStart = reader.flag("firstStart", false);
    settings.peerPort = internal::readFirstPort(reader);
    if (reader.member("announcedPeer").has_value()) {
        settings.announcedPeer = internal::readEndpoint(reader, "announcedPeer");
    }
    settings.boundEntries = internal::readBoundEntries(reader, problems);
    settings.policy = readPolicy(reader);
    settings.disabledMechanisms = internal::readDisabledMechanisms(reader);
    settings.answerMemoryBytes = reader.integer("answerMemoryBytes", internal::memoryRange, internal::defaultMemory);
    settings.requestMemoryBytes = reader.integer("requestMemoryBytes", internal::memoryRange, internal::defaultMemory);
    settings.logLevel = readLogLevel(reader);
    if (hasError(problems)) {
        return tl::unexpected{problems};
    }
    return settings;
}

} // namespace egretlatch::settings
