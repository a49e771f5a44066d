#ifndef EGRETLATCH_ROUTING_SERVER_RECORD_HPP
#define EGRETLATCH_ROUTING_SERVER_RECORD_HPP

#include <optional>
#include <set>

#include <egretlatch/admission/load_report.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/routing/router.hpp>

namespace egretlatch::routing
{

/*! @brief What one daemon knows of a server from its own attempts there. */
class ServerRecord
{
public:
    /**
     * @brief Starts with a server that has just come.
     * @param slots Slots that it announced.
     * @param since When it came.
     * @param isCold Whether it is to be ramped, as one that comes while others serve.
     */
    ServerRecord(int slots, SteadyTime since, bool isCold);

    /**
     * @brief Counts an attempt as in flight.
     * @param deadline When nobody waits for it any more.
     */
    void begin(SteadyTime deadline);

    /**
     * @brief Ends an attempt.
     * @param result How it ended.
     * @param isFailure Whether it speaks against the server.
     * @param now Current time.
     */
    void end(const AttemptResult &result, bool isFailure, SteadyTime now);

    /**
     * @brief Forgets attempts whose end was never told.
     *
     * An attempt that stayed counted would take a share of the server's load away for ever, and its server would look busy
     * while it idles. Whoever waited has given up at the deadline, so an attempt well past it is over.
     * @param now Current time.
     */
    void expire(SteadyTime now);

    /**
     * @brief Gives the share of recent attempts that failed.
     * @param now Current time.
     * @return 0 to 1, or nothing with too few attempts to tell.
     */
    [[nodiscard]] std::optional<double> failureShare(SteadyTime now) const;

    /**
     * @brief Takes the server out for a while, longer with each time in a row.
     * @param now Current time.
     */
    void eject(SteadyTime now);

    [[nodiscard]] bool isEjected(const SteadyTime now) const noexcept
    {
        return now < m_ejectedUntil;
    }

    /**
     * @brief Gives the part of its capacity that the server is trusted with.
     * @param now Current time.
     * @return Above 0, up to 1; small after a cold start or an ejection.
     */
    [[nodiscard]] double capacityShare(SteadyTime now) const;

    /**
     * @brief Gives how full the server is thought to be, for comparison.
     * @param now Current time.
     * @return Requests there, a further one included, over what it is trusted to run; above 1 the further one would wait.
     */
    [[nodiscard]] double load(SteadyTime now) const;

    [[nodiscard]] int inFlight() const noexcept
    {
        return static_cast<int>(m_inFlight.size());
    }

    /**
     * @brief Takes a changed announcement.
     * @param slots Slots that it announced.
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
    /*! @brief Recent attempts and failures, decaying. */
    double m_attempts{};
    double m_failures{};
    SteadyTime m_decayedAt;
};

} // namespace egretlatch::routing

#endif
