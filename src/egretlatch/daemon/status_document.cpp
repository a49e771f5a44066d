#include <egretlatch/daemon/status_document.hpp>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <egretlatch/core/qt_text.hpp>

namespace egretlatch::daemon
{

namespace internal
{

[[nodiscard]] static QJsonObject describe(const membership::Member &member)
{
    QJsonObject object;
    object[u"id"] = toQt(member.id.value);
    object[u"state"] = toQt(membership::toString(member.state));
    object[u"service"] = toQt(member.service);
    object[u"dataCentre"] = toQt(member.dataCentre);
    object[u"endpoint"] = toQt(member.endpoint);
    object[u"slots"] = member.slots;
    return object;
}

[[nodiscard]] static QJsonObject describe(const configuration::Report &report)
{
    QJsonArray peerVersions;
    for (const configuration::ReportedVersion &peerVersion : report.reported) {
        peerVersions.append(QJsonObject{
            {u"id"_qs, toQt(peerVersion.daemon.value)},
            {u"version"_qs, static_cast<qint64>(peerVersion.version)},
            {u"ageMs"_qs, static_cast<qint64>(peerVersion.age.count())},
        });
    }
    QJsonObject object;
    object[u"version"] = static_cast<qint64>(report.version);
    object[u"hash"] = toQt(report.hash);
    object[u"newestKnown"] = static_cast<qint64>(report.newestKnown);
    object[u"heard"] = peerVersions;
    return object;
}

[[nodiscard]] static QJsonObject describe(const admission::LoadReport &load)
{
    QJsonObject object;
    object[u"inFlight"] = load.inFlight;
    object[u"limit"] = load.limit;
    object[u"queued"] = load.queued;
    object[u"levelPriority"] = load.level.priority;
    object[u"levelDensityClass"] = load.level.density;
    object[u"levelFraction"] = load.level.fraction;
    object[u"queueDelayMs"] = std::chrono::duration<double, std::milli>{load.queueDelay}.count();
    object[u"draining"] = load.draining;
    return object;
}

} // namespace internal

std::string statusDocument(const membership::Roster &roster,
                           const configuration::Report &configuration,
                           const admission::LoadReport &load,
                           const membership::PeerSilence &silence)
{
    QJsonArray members;
    for (const membership::Member &member : roster.members()) {
        members.append(internal::describe(member));
    }
    QJsonObject document;
    document[u"id"] = toQt(roster.self().id.value);
    document[u"configurationVersion"] = static_cast<qint64>(configuration.version);
    document[u"configuration"] = internal::describe(configuration);
    document[u"load"] = internal::describe(load);
    document[u"isolated"] = silence.isIsolated;
    document[u"peerSilenceMs"] = static_cast<qint64>(std::chrono::duration_cast<std::chrono::milliseconds>(silence.duration).count());
    document[u"members"] = members;
    return QJsonDocument{document}.toJson(QJsonDocument::Compact).toStdString();
}

} // namespace egretlatch::daemon
