#ifndef EGRETLATCH_ADMISSION_CRASH_SUSPECTS_HPP
#define EGRETLATCH_ADMISSION_CRASH_SUSPECTS_HPP

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <egretlatch/core/clock.hpp>

namespace egretlatch::admission
{

/*! @brief Names requests that are alike: the same method, path, body and calling service. */
using RequestFingerprint = std::uint64_t;

/**
 * @brief Gives the fingerprint of a request.
 * @param method Its method.
 * @param path Its path with the query.
 * @param caller The service beside whose daemon it began.
 * @param body Its body.
 * @return The fingerprint.
 */
[[nodiscard]] RequestFingerprint fingerprintOf(std::string_view method, std::string_view path, std::string_view caller, std::string_view body);

/**
 * @brief Finds requests that crash each backend server that runs them.
 *
 * Such a request comes again and takes one server after the other, with all that runs beside it. What ran at a server when it
 * crashed is suspect; what was there at three crashes is refused. A request that ran well is cleared, so what merely ran
 * beside the culprit goes on; to be refused it would have to run beside it three times without ending well anywhere.
 */
class CrashSuspects
{
public:
    /**
     * @brief Takes a crash.
     * @param crash Name of the crash; one that is known is not counted again.
     * @param running What ran at the server.
     * @param now Current time.
     */
    void noteCrash(const std::string &crash, const std::vector<RequestFingerprint> &running, SteadyTime now);

    /**
     * @brief Clears a request that ran well.
     * @param request The request.
     * @return True if it was suspect, which others should then hear of.
     */
    bool noteSuccess(RequestFingerprint request);

    /**
     * @brief Takes another daemon's word that a suspect request ran well.
     *
     * It may come before the news of the crash that made the request suspect, so it also holds for crashes told of within
     * `successLifetime`; a request that crashes each server that runs it is never told of so.
     * @param request The request.
     * @param now Current time.
     */
    void noteRemoteSuccess(RequestFingerprint request, SteadyTime now);

    /**
     * @brief Counts the crashes that a request was there at.
     * @param request The request.
     * @param now Current time.
     * @return How many, of late.
     */
    [[nodiscard]] int crashes(RequestFingerprint request, SteadyTime now) const;

    /**
     * @brief Says whether a request is refused.
     * @param request The request.
     * @param now Current time.
     * @return True from the third crash until long after the last one.
     */
    [[nodiscard]] bool isQuarantined(RequestFingerprint request, SteadyTime now) const;

    [[nodiscard]] bool isEmpty() const noexcept
    {
        return m_suspects.empty();
    }

    /*! @brief How long a crash counts; a request that is fixed runs again then. */
    static constexpr std::chrono::minutes crashLifetime{5};
    /*! @brief How long the word of a good run holds for crashes told of after it. */
    static constexpr std::chrono::seconds successLifetime{10};

private:
    struct Suspect
    {
        std::set<std::string> crashes;
        SteadyTime last;
    };

    void forgetOld(SteadyTime now);

    std::map<RequestFingerprint, Suspect> m_suspects;
    /*! @brief When other daemons told that a request ran well. */
    std::map<RequestFingerprint, SteadyTime> m_goodElsewhere;
};

/**
 * @brief Writes fingerprints as bytes, for a message to other daemons.
 * @param requests The fingerprints; those beyond what a message holds are left out.
 * @return Eight bytes each.
 */
[[nodiscard]] std::string toBytes(const std::vector<RequestFingerprint> &requests);

/**
 * @brief Reads what toBytes() wrote.
 * @param bytes The bytes; a rest of fewer than eight is ignored.
 * @return The fingerprints.
 */
[[nodiscard]] std::vector<RequestFingerprint> fingerprintsFrom(std::string_view bytes);

} // namespace egretlatch::admission

#endif
