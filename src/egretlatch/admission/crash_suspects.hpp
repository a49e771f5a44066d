#ifndef EGRETLATCH_ADMISSION_CRASH_SUSPECTS_HPP
#define EGRETLATCH_ADMISSION_CRASH_SUSPECTS_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <egretlatch/admission/request_identity.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>

namespace egretlatch::admission
{

/*! @brief Degree to which a request is held responsible for crashes of backend servers. */
enum class Suspicion {
    none,
    /*! @brief It was running at a crash; it is served, but not resent to another server after it was lost at one. */
    suspect,
    /*! @brief Equal requests of another caller are refused; one run shows if the caller makes a difference. */
    onTrial,
    /*! @brief It is refused. */
    quarantined,
};

/*! @brief Evidence against a request. */
struct CrashEvidence
{
    /*! @brief Crashes at which the content was running. */
    int crashes{};
    /*! @brief Those that broke a run of the content, or left one on trial without an answer. */
    int broken{};
    /*! @brief Those at which this caller's request was running. */
    int ownCrashes{};
    /*! @brief Callers that were the only one to run the content at a crash. */
    int callers{};
    /*! @brief Time since the last of these crashes was reported. */
    Duration sinceLast{};

    friend bool operator==(const CrashEvidence &, const CrashEvidence &) = default;
};

/*! @brief Crash at which requests of a caller were running. */
struct KnownCrash
{
    /*! @brief Hash of the caller, as in RequestIdentity. */
    std::uint64_t caller{};
    std::string crash;
    /*! @brief Set if the crash broke a run of the caller, or left one on trial without an answer. */
    bool isBroken{};

    friend bool operator==(const KnownCrash &, const KnownCrash &) = default;
};

/**
 * @brief Detects requests that crash every backend server that runs them.
 *
 * Such a request is resent through any daemon and crashes one server after another, along with every other request that
 * runs there. Requests that run at a server when it crashes become suspect; a request that was running at three crashes is
 * refused. Crashes count over all callers that send the same content, as the culprit may come from any of them. Once the
 * content has run well for one caller, each other caller is judged by its own crashes: the content alone is then not the
 * cause. A request that succeeds is cleared, so a request that only ran at the same time as the culprit is normally not
 * refused.
 *
 * Servers may fall silent by themselves, several at once, and leave the same requests unanswered. So crashes under which the
 * runs of a content were only unanswered put it on trial, and its trials decide.
 */
class CrashSuspects
{
public:
    /**
     * @brief Records a crash, and requests whose runs it broke.
     * @param crash Identifier of the crash, `DAEMON/...`; a known one is not counted again.
     * @param running Requests that were running at the server, or one that was on trial there.
     * @param now Current time.
     */
    void noteCrash(const std::string &crash, const std::vector<RequestIdentity> &running, SteadyTime now);

    /**
     * @brief Records a crash, and requests that were only unanswered when it was noticed.
     * @param crash Identifier of the crash, as for noteCrash().
     * @param unanswered The requests.
     * @param now Current time.
     */
    void noteUnanswered(const std::string &crash, const std::vector<RequestIdentity> &unanswered, SteadyTime now);

    /**
     * @brief Clears a request that succeeded.
     * @param request The request.
     * @param now Current time.
     * @return True if other daemons should be notified: its content is suspect, and this is the caller's first success since.
     */
    bool noteSuccess(const RequestIdentity &request, SteadyTime now);

    /**
     * @brief Records another daemon's report that a suspect request succeeded.
     *
     * The report may arrive before the report of the crash that made the request suspect, so it also applies to crashes
     * reported within `successLifetime` after it. A request that crashes every server that runs it never gets such a
     * report.
     * @param request The request.
     * @param now Current time.
     */
    void noteRemoteSuccess(const RequestIdentity &request, SteadyTime now);

    /**
     * @brief Determines to what degree a request is held responsible for crashes.
     * @param request The request.
     * @param now Current time.
     * @return `quarantined`, or `onTrial`, from the third crash until `crashLifetime` after the last one.
     */
    [[nodiscard]] Suspicion suspicionOf(const RequestIdentity &request, SteadyTime now) const;

    /**
     * @brief Collects the evidence against a request.
     * @param request The request.
     * @param now Current time.
     * @return The evidence; zero crashes once `crashLifetime` has passed since the last one.
     */
    [[nodiscard]] CrashEvidence evidenceAgainst(const RequestIdentity &request, SteadyTime now) const;

    /**
     * @brief Returns the crashes at which a content was running.
     * @param content The content.
     * @param now Current time.
     * @return The crashes, with each caller whose requests were running then.
     */
    [[nodiscard]] std::vector<KnownCrash> crashesOf(RequestFingerprint content, SteadyTime now) const;

    /**
     * @brief Counts the crashes beside a daemon at which a content was running.
     * @param content The content.
     * @param daemon The daemon.
     * @param now Current time.
     */
    [[nodiscard]] int crashesAt(RequestFingerprint content, const DaemonId &daemon, SteadyTime now) const;

    /**
     * @brief Removes evidence that no longer counts.
     * @param now Current time.
     */
    void expire(SteadyTime now);

    [[nodiscard]] bool isEmpty() const noexcept
    {
        return m_suspects.empty();
    }

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_suspects.size();
    }

    /*! @brief Returns the number of suspects that were forgotten because there were too many. */
    [[nodiscard]] std::uint64_t evicted() const noexcept
    {
        return m_evicted;
    }

    /*! @brief Time for which a crash counts; after it, a request whose cause has been fixed can run again. */
    static constexpr std::chrono::minutes crashLifetime{5};
    /*! @brief Time for which a reported success also clears the request of crashes that are reported after it. */
    static constexpr std::chrono::seconds successLifetime{10};

private:
    struct Caller
    {
        /*! @brief Crashes by their identifiers; true for those that broke a run of the caller. */
        std::map<std::string, bool> crashes;
        /*! @brief Set while the caller's last known run of the content was a success. */
        bool hasRunWell{};
        /*! @brief Crashes reported before this time are older than a success that another daemon reported. */
        SteadyTime clearedUntil;
    };

    struct Suspect
    {
        std::map<std::uint64_t, Caller> callers;
        SteadyTime last;
    };

    void note(const std::string &crash, const std::vector<RequestIdentity> &running, bool isBroken, SteadyTime now);
    [[nodiscard]] const Suspect *find(RequestFingerprint content, SteadyTime now) const;
    [[nodiscard]] bool isAnyQuarantined(const std::vector<RequestIdentity> &requests, SteadyTime now) const;
    void evictLeastSuspect();

    std::map<RequestFingerprint, Suspect> m_suspects;
    std::uint64_t m_evicted{};
};

} // namespace egretlatch::admission

#endif
