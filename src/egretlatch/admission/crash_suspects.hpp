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

/*! @brief Hash that identifies equal requests: the same method, path, body and calling service. */
using RequestFingerprint = std::uint64_t;

/**
 * @brief Computes the fingerprint of a request.
 * @param method Its method.
 * @param path Its path with the query.
 * @param caller Service of the daemon at which it entered the system.
 * @param body Its body.
 * @return The fingerprint.
 */
[[nodiscard]] RequestFingerprint fingerprintOf(std::string_view method, std::string_view path, std::string_view caller, std::string_view body);

/**
 * @brief Detects requests that crash every backend server that runs them.
 *
 * Such a request is resent and crashes one server after another, along with every other request that runs there. Requests
 * that run at a server when it crashes become suspect; a request that was running at three crashes is refused. A request
 * that succeeds is cleared, so a request that only ran at the same time as the culprit is normally not refused: that takes
 * three crashes without a single success anywhere.
 */
class CrashSuspects
{
public:
    /**
     * @brief Records a crash.
     * @param crash Identifier of the crash; a known one is not counted again.
     * @param running Requests that were running at the server.
     * @param now Current time.
     */
    void noteCrash(const std::string &crash, const std::vector<RequestFingerprint> &running, SteadyTime now);

    /**
     * @brief Clears a request that succeeded.
     * @param request The request.
     * @return True if it was suspect; other daemons should then be notified.
     */
    bool noteSuccess(RequestFingerprint request);

    /**
     * @brief Records another daemon's report that a suspect request succeeded.
     *
     * The report may arrive before the report of the crash that made the request suspect, so it also applies to crashes
     * reported within `successLifetime` after it. A request that crashes every server that runs it never gets such a
     * report.
     * @param request The request.
     * @param now Current time.
     */
    void noteRemoteSuccess(RequestFingerprint request, SteadyTime now);

    /**
     * @brief Counts the recent crashes at which a request was running.
     * @param request The request.
     * @param now Current time.
     * @return Number of crashes; zero once `crashLifetime` has passed since the last one.
     */
    [[nodiscard]] int crashes(RequestFingerprint request, SteadyTime now) const;

    /**
     * @brief Checks if a request is refused.
     * @param request The request.
     * @param now Current time.
     * @return True from the third crash until `crashLifetime` after the last one.
     */
    [[nodiscard]] bool isQuarantined(RequestFingerprint request, SteadyTime now) const;

    [[nodiscard]] bool isEmpty() const noexcept
    {
        return m_suspects.empty();
    }

    /*! @brief Time for which a crash counts; after it, a request whose cause has been fixed can run again. */
    static constexpr std::chrono::minutes crashLifetime{5};
    /*! @brief Time for which a reported success also clears the request of crashes that are reported after it. */
    static constexpr std::chrono::seconds successLifetime{10};

private:
    struct Suspect
    {
        std::set<std::string> crashes;
        SteadyTime last;
    };

    void eraseExpired(SteadyTime now);

    std::map<RequestFingerprint, Suspect> m_suspects;
    /*! @brief Times at which other daemons reported a success of a request. */
    std::map<RequestFingerprint, SteadyTime> m_remoteSuccesses;
};

/**
 * @brief Serializes fingerprints for a message to other daemons.
 * @param requests The fingerprints; those that exceed the message's capacity are omitted.
 * @return Eight bytes for each fingerprint.
 */
[[nodiscard]] std::string toBytes(const std::vector<RequestFingerprint> &requests);

/**
 * @brief Parses the output of toBytes().
 * @param bytes The bytes; a remainder of fewer than eight is ignored.
 * @return The fingerprints.
 */
[[nodiscard]] std::vector<RequestFingerprint> fingerprintsFrom(std::string_view bytes);

} // namespace egretlatch::admission

#endif
