// The part of Sidecar that ends it: by a signal, or after an exception.

#include <egretlatch/sidecar/sidecar.hpp>

#include <egretlatch/sidecar/shutdown_times.hpp>

namespace egretlatch::sidecar
{

namespace internal
{

// Exceptions that may leave handlers within an interval before the daemon ends.
constexpr int maxExceptions = 20;
constexpr std::chrono::seconds exceptionInterval{60};

} // namespace internal

void Sidecar::drain()
{
    if (m_drainSince.has_value()) {
        return;
    }
    m_logger.info("draining");
    m_drainSince = m_clock.steadyNow();
    m_frontend.server().retire();
    post(decision::ServerDraining{.isShutdown = false, .isSignal = true});
}

void Sidecar::tickShutdown()
{
    const Duration sinceDrain = m_clock.steadyNow() - *m_drainSince;
    const ShutdownTimes times = shutdownTimes(m_bounds.grace, m_core->manifest() == nullptr ? std::chrono::milliseconds{} : m_core->manifest()->maxDeadline());
    if (!m_isShuttingDown && sinceDrain >= times.notice) {
        m_isShuttingDown = true;
        post(decision::ServerDraining{.isShutdown = true, .isSignal = true});
    }
    if (sinceDrain >= times.end) {
        beginStop("drain time limit reached");
    }
    if (sinceDrain >= times.delivery) {
        stop("callers or daemons still read their answers");
    } else if (m_isStopping && !m_frontend.server().owesAnswers() && !m_peers.owesAnswers()) {
        stop("all answers delivered");
    }
}

void Sidecar::beginStop(const std::string_view reason)
{
    if (m_isStopping) {
        return;
    }
    m_isStopping = true;
    m_logger.info("nothing more to do", {{"reason", reason}, {"owesAnswers", m_frontend.server().owesAnswers()}});
    m_frontend.server().closeIdle();
}

void Sidecar::stop(const std::string_view reason)
{
    if (m_hasEnded) {
        return;
    }
    m_hasEnded = true;
    m_logger.info("stopped", {{"reason", reason}});
    m_frontend.server().closeIdle();
    m_onEnded();
}

void Sidecar::runGuarded(const std::string_view owner, const std::function<void()> &step)
{
    try {
        step();
    } catch (const std::exception &exception) {
        reportException(owner, exception.what());
    } catch (...) {
        reportException(owner, "unknown exception");
    }
}

void Sidecar::reportException(const std::string_view owner, const std::string_view reason)
{
    m_logger.error("exception in a handler", {{"owner", owner}, {"reason", reason}});
    m_metrics.count("exceptions", "handler");
    const SteadyTime now = m_clock.steadyNow();
    if (now - m_exceptionsSince > internal::exceptionInterval) {
        m_exceptionsSince = now;
        m_exceptions = 0;
    }
    // One that returns with each event is no fault of a single connection.
    if (++m_exceptions > internal::maxExceptions) {
        handleCoreFailure("too many exceptions in handlers");
    }
}

void Sidecar::handleCoreFailure(const std::string_view reason)
{
    m_logger.error("decision core failed", {{"reason", reason}});
    m_metrics.count("exceptions", "core");
    m_frontend.failAll();
    if (!m_drainSince.has_value()) {
        m_drainSince = m_clock.steadyNow();
    }
    beginStop("decision core failed");
}

} // namespace egretlatch::sidecar
