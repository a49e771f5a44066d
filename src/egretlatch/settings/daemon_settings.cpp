#include <egretlatch/settings/daemon_settings.hpp>

#include <QHostAddress>
#include <QUrl>

#include <egretlatch/settings/common_readers.hpp>

namespace egretlatch::settings
{

namespace internal
{

constexpr std::int64_t mebibyte = 1024LL * 1024LL;
constexpr Range<std::int64_t> portRange{.min = 1, .max = 65535};
constexpr Range<std::int64_t> bodyRange{.min = 1, .max = 64 * mebibyte};
constexpr std::int64_t defaultMaxBody = 8 * mebibyte;
constexpr Range<std::int64_t> seedRange{.min = 0, .max = 9007199254740991};

[[nodiscard]] static PeerSettings readPeer(const QJsonValue &value, const std::string &pointer, Problems &problems)
{
    JsonObjectReader reader{value, pointer, problems};
    PeerSettings peer;
    peer.id = {reader.text("id")};
    peer.endpoint = reader.text("endpoint");
    if (!peer.endpoint.empty() && !peer.endpoint.starts_with("tcp://")) {
        reader.report("endpoint", "\"" + peer.endpoint + "\"", "tcp://ADDRESS:PORT");
    }
    reader.finish();
    return peer;
}

static void checkKey(JsonObjectReader &reader, const std::string &name, const std::string &key)
{
    // The text itself is not shown: it may be a secret key with one character too many.
    if (!key.empty() && !isValidKey(key)) {
        reader.report(name, "text that is not a key", "a key as `egretlatch keys` prints it");
    }
}

[[nodiscard]] static PeerKeys readPeerKeys(const QJsonValue &value, const std::string &pointer, Problems &problems)
{
    JsonObjectReader reader{value, pointer, problems};
    PeerKeys keys;
    keys.publicKey = reader.text("publicKey");
    keys.secretKey = reader.text("secretKey");
    checkKey(reader, "publicKey", keys.publicKey);
    checkKey(reader, "secretKey", keys.secretKey);
    reader.list("accepted", true, [&](const QJsonValue &element, const std::string & /*elementPointer*/) {
        keys.accepted.push_back(element.toString().toStdString());
        if (!isValidKey(keys.accepted.back())) {
            reader.report("accepted", "text that is not a key", "keys as `egretlatch keys` prints them");
        }
    });
    if (keys.accepted.empty()) {
        reader.report("accepted", "an empty list", "at least one public key");
    }
    reader.finish();
    return keys;
}

[[nodiscard]] static std::optional<PeerKeys> readPeerSecurity(JsonObjectReader &reader, Problems &problems)
{
    const bool isOn = reader.choice("peerEncryption", {"on", "off"}, "on") == "on";
    const std::optional<QJsonValue> keys = reader.member("peerKeys");
    if (keys.has_value()) {
        const PeerKeys read = readPeerKeys(*keys, reader.pointerTo("peerKeys"), problems);
        return isOn ? std::optional{read} : std::nullopt;
    }
    if (isOn) {
        reader.report("peerKeys", "nothing", "keys, or \"peerEncryption\": \"off\" on a trusted network");
    }
    return std::nullopt;
}

[[nodiscard]] static std::string readAddress(JsonObjectReader &reader)
{
    std::string address = reader.text("listenAddress", "127.0.0.1");
    if (QHostAddress{QString::fromStdString(address)}.isNull()) {
        reader.report("listenAddress", "\"" + address + "\"", "an IP address");
    }
    return address;
}

[[nodiscard]] static std::string readUrl(JsonObjectReader &reader, const std::string &key, const std::optional<std::string> &fallback)
{
    std::string text = reader.text(key, fallback);
    const QUrl url{QString::fromStdString(text), QUrl::StrictMode};
    const bool isUsable = url.isValid() && url.scheme() == QLatin1String{"http"} && !url.host().isEmpty();
    if (!text.empty() && !isUsable) {
        reader.report(key, "\"" + text + "\"", "http://ADDRESS:PORT");
    }
    return text;
}

[[nodiscard]] static std::optional<std::uint64_t> readSeed(JsonObjectReader &reader)
{
    constexpr std::int64_t noSeed = -1;
    const std::int64_t seed = reader.integer("seed", seedRange, noSeed);
    return seed == noSeed ? std::nullopt : std::optional{static_cast<std::uint64_t>(seed)};
}

} // namespace internal

tl::expected<DaemonSettings, Problems> parseDaemonSettings(const QByteArray &json)
{
    Problems problems;
    const QJsonValue document = parseJson(json, problems);
    if (hasError(problems)) {
        return tl::unexpected{problems};
    }
    JsonObjectReader reader{document, "", problems};
    DaemonSettings settings;
    settings.id = {reader.text("id")};
    settings.region = reader.text("region", "");
    settings.dataCentre = reader.text("dataCentre");
    settings.listenAddress = internal::readAddress(reader);
    settings.callerPort = static_cast<std::uint16_t>(reader.integer("callerPort", internal::portRange));
    settings.peerPort = static_cast<std::uint16_t>(reader.integer("peerPort", internal::portRange));
    settings.backendUrl = internal::readUrl(reader, "backendUrl", std::nullopt);
    reader.list("peers", false, [&](const QJsonValue &element, const std::string &pointer) {
        settings.peers.push_back(internal::readPeer(element, pointer, problems));
    });
    settings.peerKeys = internal::readPeerSecurity(reader, problems);
    settings.manifestFile = reader.text("manifestFile", "");
    settings.platformUrl = internal::readUrl(reader, "platformUrl", "");
    settings.platformTokenFile = reader.text("platformTokenFile", "");
    settings.operatorTokenFile = reader.text("operatorTokenFile", "");
    settings.isOpenToOperators = reader.choice("operatorAccess", {"token", "open"}, "token") == "open";
    settings.collectorUrl = internal::readUrl(reader, "collectorUrl", "");
    settings.maxBodyBytes = reader.integer("maxBodyBytes", internal::bodyRange, internal::defaultMaxBody);
    settings.policy = readPolicy(reader);
    settings.ownsKeysWithoutOwner = reader.choice("keysWithoutOwner", {"refuse", "entry-memory"}, "refuse") == "entry-memory";
    settings.logLevel = readLogLevel(reader);
    settings.seed = internal::readSeed(reader);
    if (settings.callerPort == settings.peerPort) {
        reader.report("peerPort", "the same port as callerPort", "a different port");
    }
    reader.finish();
    if (hasError(problems)) {
        return tl::unexpected{problems};
    }
    return settings;
}

} // namespace egretlatch::settings
