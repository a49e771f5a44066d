// The part of Sidecar that executes the actions of the decision core.

#include <egretlatch/sidecar/sidecar.hpp>

#include <egretlatch/daemon/isolation_log.hpp>
#include <egretlatch/daemon/server_log.hpp>

namespace egretlatch::sidecar
{

void Sidecar::execute(decision::Action action)
{
    if (const auto *const answer = std::get_if<decision::AnswerCaller>(&action)) {
        runGuarded("connection of a caller", [this, answer] {
            m_frontend.answer(*answer);
        });
    } else if (auto *const send = std::get_if<decision::SendToPeer>(&action)) {
        m_peers.send(*send);
    } else if (const auto *const start = std::get_if<decision::StartRun>(&action)) {
        m_backend.start(*start, m_reports.backend().instance());
    } else if (const auto *const abort = std::get_if<decision::AbortRun>(&action)) {
        m_backend.abort(abort->execution);
    } else if (const auto *const toPlatform = std::get_if<decision::SendToPlatform>(&action)) {
        executeAtStore(*toPlatform);
    } else if (const auto *const refusal = std::get_if<decision::RecordRefusal>(&action)) {
        m_requestLog.write(*refusal);
    } else if (const auto *const entry = std::get_if<decision::LogRequest>(&action)) {
        m_requestLog.write(*entry);
    } else if (const auto *const inForce = std::get_if<decision::ManifestInForce>(&action)) {
        m_logger.info("configuration in force", {{"version", inForce->version}, {"hash", inForce->hash}, {"sourceDaemon", inForce->sourceDaemon.value}});
        applyConfiguration();
    } else if (const auto *const changed = std::get_if<decision::MemberChanged>(&action)) {
        m_logger.info("member changed", {{"member", changed->id.value}, {"state", membership::toString(changed->state)}});
    } else if (daemon::logServerAction(m_logger, action)) {
        return;
    } else if (const auto *const departure = std::get_if<decision::DepartureReported>(&action)) {
        m_logger.info("departure reported", {{"instance", departure->instance}});
    } else if (const auto *const saved = std::get_if<decision::DepartureSaved>(&action)) {
        m_logger.info("departure saved", {{"instance", saved->instance}});
        m_reports.handleSaved(saved->instance);
    } else if (const auto *const known = std::get_if<decision::DeparturesKnown>(&action)) {
        logDeparturesKnown(*known);
    } else if (const auto *const isolation = std::get_if<decision::IsolationChanged>(&action)) {
        daemon::logIsolation(m_logger, *isolation);
    } else if (const auto *const raised = std::get_if<decision::IncarnationRaised>(&action)) {
        m_logger.warning("incarnation raised", {{"from", raised->from.value}, {"to", raised->to.value}});
        m_peers.beginIncarnation(raised->to);
    } else if (std::holds_alternative<decision::Drained>(action)) {
        beginStop("no requests in flight");
    }
}

void Sidecar::logDeparturesKnown(const decision::DeparturesKnown &known)
{
    const auto sinceStart = std::chrono::duration_cast<std::chrono::milliseconds>(known.sinceStart);
    m_logger.info("earlier departures known",
                  {{"learnedFrom", decision::toString(known.source)}, {"count", known.count}, {"sinceStartMs", sinceStart.count()}});
}

void Sidecar::executeAtStore(const decision::SendToPlatform &action)
{
    const BootTime sentAt = m_clock.bootNow();
    m_store.execute(action.request, [this, id = action.id, sentAt](store::Outcome outcome) {
        if (const std::optional<store::StoreTime> now = store::clockOf(outcome)) {
            post(decision::StoreClockRead{.reading = {.sentAt = sentAt, .now = *now}});
        }
        post(decision::PlatformAnswered{.id = id, .outcome = std::move(outcome)});
        followConfiguration();
    });
}

} // namespace egretlatch::sidecar
