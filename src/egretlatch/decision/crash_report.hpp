#ifndef EGRETLATCH_DECISION_CRASH_REPORT_HPP
#define EGRETLATCH_DECISION_CRASH_REPORT_HPP

#include <cstdint>
#include <vector>

#include <egretlatch/admission/crash_suspects.hpp>
#include <egretlatch/admission/request_identity.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/decision/crash_detector.hpp>
#include <egretlatch/membership/rumour.hpp>

namespace egretlatch::decision
{

/*! @brief Report on requests that may crash backend servers, shared between daemons as a rumour. */
struct CrashReport
{
    membership::Rumour rumour;

    /**
     * @brief Builds the reports of a crash; a report holds a limited number of requests.
     * @param daemon The daemon on the server's VM.
     * @param incarnation Its incarnation.
     * @param number Sequence number of the crash within that incarnation.
     * @param reported Number of earlier reports of the same crash.
     * @param running Requests that were running at the server.
     * @return The reports, which count as one crash.
     */
    [[nodiscard]] static std::vector<CrashReport>
    forCrash(const DaemonId &daemon, Incarnation incarnation, std::uint64_t number, std::size_t reported, const CrashedRuns &running);

    /**
     * @brief Builds the report of suspect requests that ran without a crash.
     * @param daemon The daemon on the server's VM.
     * @param incarnation Its incarnation.
     * @param number Sequence number of the report within that incarnation.
     * @param requests The requests, at most `maxIdentitiesPerMessage`.
     * @return The report.
     */
    [[nodiscard]] static CrashReport
    forSuccess(const DaemonId &daemon, Incarnation incarnation, std::uint64_t number, const std::vector<admission::RequestIdentity> &requests);

    /*! @brief Returns the requests that the report is about. */
    [[nodiscard]] std::vector<admission::RequestIdentity> requests() const
    {
        return admission::identitiesFrom(rumour.payload);
    }

    /*! @brief Checks whether the requests ran well; else they were running at a crash. */
    [[nodiscard]] bool isOfSuccess() const;

    /**
     * @brief Applies the report to the known suspects.
     * @param suspects The suspects to update.
     * @param now Current time.
     */
    void apply(admission::CrashSuspects &suspects, SteadyTime now) const;
};

} // namespace egretlatch::decision

#endif
