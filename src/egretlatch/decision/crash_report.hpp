#ifndef EGRETLATCH_DECISION_CRASH_REPORT_HPP
#define EGRETLATCH_DECISION_CRASH_REPORT_HPP

#include <cstdint>
#include <vector>

#include <egretlatch/admission/crash_suspects.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/membership/rumour.hpp>

namespace egretlatch::decision
{

/*! @brief Report on requests that may crash backend servers, shared between daemons as a rumour. */
struct CrashReport
{
    membership::Rumour rumour;

    /**
     * @brief Builds the report of a crash.
     * @param daemon The daemon on the server's VM.
     * @param incarnation Its incarnation.
     * @param number Sequence number of the report within that incarnation.
     * @param running Requests that were running at the server.
     * @return The report.
     */
    [[nodiscard]] static CrashReport
    forCrash(const DaemonId &daemon, Incarnation incarnation, std::uint64_t number, const std::vector<admission::RequestFingerprint> &running);

    /**
     * @brief Builds the report of a suspect request that ran without a crash.
     * @param daemon The daemon on the server's VM.
     * @param incarnation Its incarnation.
     * @param number Sequence number of the report within that incarnation.
     * @param request The request.
     * @return The report.
     */
    [[nodiscard]] static CrashReport forSuccess(const DaemonId &daemon, Incarnation incarnation, std::uint64_t number, admission::RequestFingerprint request);

    /**
     * @brief Applies the report to the known suspects.
     * @param suspects The suspects to update.
     * @param now Current time.
     */
    void apply(admission::CrashSuspects &suspects, SteadyTime now) const;
};

} // namespace egretlatch::decision

#endif
