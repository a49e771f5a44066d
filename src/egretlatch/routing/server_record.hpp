#ifndef EGRETLATCH_ROUTING_SERVER_RECORD_HPP
#define EGRETLATCH_ROUTING_SERVER_RECORD_HPP

#include <optional>
#include <set>

#include <egretlatch/admission/load_report.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/routing/router.hpp>

namespace egretlatch::routing
{

/*! @brief Tracks load and failures of a server, based on this daemon's own attempts there. */
class ServerRecord
{
public:
    /**
     * @brief Creates a record for a newly discovered server.
     * @param slots Slots that it announced.
     * @param since Time of discovery.
     * @param isCold True if its load is to be ramped up, as for a server that joins while others are serving.
     */
    ServerRecord(int slots, SteadyTime since, bool isCold);

    /**
     * @brief Counts an attempt as in flight.
     * @param deadline Deadline of the call, after which no caller waits for it.
     */
    void begin(SteadyTime deadline);

    /**
     * @brief Records the end of an attempt.
     * @param result Result of the attempt.
     * @param isFailure True if the attempt counts as a failure of the server.
     * @param now Current time.
     */
    void end(const AttemptResult &result, bool isFailure, SteadyTime now);

    /**
     * @brief Removes attempts whose end was never reported.
     *
     * An attempt that stayed in flight would permanently take up a part of the server's capacity, so that an idle server looked
     * busy. Callers give up at the deadline, so an attempt that is a second past it is over.
     * @param now Current time.
     */
    void expire(SteadyTime now);

    /**
     * @brief Returns the share of recent attempts that failed.
     * @param now Current time.
     * @return 0 to 1, or nothing if there are too few recent attempts.
     */
    [[nodiscard]] std::optional<double> failureShare(SteadyTime now) const;

    /**
     * @brief Ejects the server for a while; the time doubles with each consecutive ejection, up to a limit.
     * @param now Current time.
     */
    void eject(SteadyTime now);

    [[nodiscard]] bool isEjected(const SteadyTime now) const noexcept
    {
        return now < m_ejectedUntil;
    }

    /**
     * @brief Returns the share of its capacity that the server may use.
     * @param now Current time.
     * @return Above 0, up to 1; ramps up after a cold start or an ejection.
     */
    [[nodiscard]] double capacityShare(SteadyTime now) const;

    /**
     * @brief Estimates the load of the server, for comparison with others.
     * @param now Current time.
     * @return Requests at the server, including one more, divided by its usable capacity; above 1 the new one would be queued.
     */
    [[nodiscard]] double load(SteadyTime now) const;

    [[nodiscard]] int inFlight() const noexcept
    {
        return static_cast<int>(m_inFlight.size());
    }

    /**
     * @brief Updates the number of slots.
     * @param slots Slots that the server announced.
     */
    void setSlots(const int slots) noexcept
    {
        m_slots = slots;
    }

private:
    [[nodiscard]] double freshness(SteadyTime now) const;
    void decay(SteadyTime now);

    int m_slots;
    std::multiset<SteadyTime> m_inFlight;
    admission::LoadReport m_report;
    SteadyTime m_reportedAt;
    SteadyTime m_refusedAt;
    SteadyTime m_rampBegin;
    bool m_hasRamp;
    SteadyTime m_ejectedUntil;
    int m_ejections{};
    /*! @brief Exponentially decaying counts of attempts and failures. */
    double m_attempts{};
    double m_failures{};
    SteadyTime m_decayedAt;
};

} // namespace egretlatch::routing

#endif
