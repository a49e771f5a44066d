#ifndef EGRETLATCH_DECISION_CRASH_REPORT_HPP
#define EGRETLATCH_DECISION_CRASH_REPORT_HPP

#include <cstdint>
#include <vector>

#include <egretlatch/admission/crash_suspects.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/membership/rumour.hpp>

namespace egretlatch::decision
{

/*! @brief What daemons tell one another of requests that crash backend servers. */
struct CrashReport
{
    membership::Rumour rumour;

    /**
     * @brief Makes the news of a crash.
     * @param daemon The daemon beside the server.
     * @param incarnation Its life.
     * @param number Number of the news within that life.
     * @param running What ran at the server.
     * @return The news.
     */
    [[nodiscard]] static CrashReport
    crashed(const DaemonId &daemon, Incarnation incarnation, std::uint64_t number, const std::vector<admission::RequestFingerprint> &running);

    /**
     * @brief Makes the news that a suspect request ran well.
     * @param daemon The daemon beside the server.
     * @param incarnation Its life.
     * @param number Number of the news within that life.
     * @param request The request.
     * @return The news.
     */
    [[nodiscard]] static CrashReport ranWell(const DaemonId &daemon, Incarnation incarnation, std::uint64_t number, admission::RequestFingerprint request);

    /**
     * @brief Takes the news into what is known.
     * @param suspects What is known.
     * @param now Current time.
     */
    void apply(admission::CrashSuspects &suspects, SteadyTime now) const;
};

} // namespace egretlatch::decision

#endif
