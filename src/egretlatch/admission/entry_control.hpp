#ifndef EGRETLATCH_ADMISSION_ENTRY_CONTROL_HPP
#define EGRETLATCH_ADMISSION_ENTRY_CONTROL_HPP

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <egretlatch/account/refusal.hpp>
#include <egretlatch/admission/learned_chains.hpp>
#include <egretlatch/admission/load_report.hpp>
#include <egretlatch/admission/rank.hpp>
#include <egretlatch/admission/reported_level.hpp>
#include <egretlatch/admission/root_costs.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/core/uuid.hpp>
#include <egretlatch/manifest/manifest.hpp>

namespace egretlatch::admission
{

/*! @brief Root that requests admission to the system. */
struct EntryRequest
{
    std::string service;
    std::string kind;
    Uuid root;
    Rank rank;

    friend bool operator==(const EntryRequest &, const EntryRequest &) = default;
};

/*! @brief Refusal of a root at the entry, with its reason and figures. */
struct EntryRefusal
{
    account::RefusalReason reason{};
    std::string rule;
    std::vector<account::Figure> figures;
    std::chrono::milliseconds retryAfter{};

    friend bool operator==(const EntryRefusal &, const EntryRefusal &) = default;
};

/*! @brief Load that a serving daemon reported for its own backend server. */
struct ServerLoadReport
{
    std::string service;
    DaemonId daemon;
    LoadReport load;

    friend bool operator==(const ServerLoadReport &, const ServerLoadReport &) = default;
};

/*! @brief Aggregated level of a service, as reported by its daemons. */
struct ServiceLevelReport
{
    std::string service;
    ReportedLevel reported;

    friend bool operator==(const ServiceLevelReport &, const ServiceLevelReport &) = default;
};

/*! @brief Successful run and the inner calls that it made. */
struct RunCalls
{
    KindName kind;
    std::map<KindName, int> calls;
    /*! @brief Time that it held its slot. */
    Duration held{};

    friend bool operator==(const RunCalls &, const RunCalls &) = default;
};

/*! @brief Interface for admission control at the entry: refuses roots that a downstream service would refuse anyway. */
class EntryControl
{
public:
    virtual ~EntryControl() = default;

    /**
     * @brief Applies a new configuration.
     * @param manifest The manifest in force.
     */
    virtual void setManifest(std::shared_ptr<const manifest::Manifest> manifest) = 0;

    /**
     * @brief Returns the rank of the roots of a kind.
     * @param service Name of the service.
     * @param kind Name of the kind.
     * @return The rank, with nothing invested; the lowest for an undeclared kind.
     */
    [[nodiscard]] virtual Rank rankOf(const std::string &service, const std::string &kind) const = 0;

    /**
     * @brief Returns the class of a request at one service.
     * @param service Service that is called.
     * @param kind Kind that is called.
     * @param rank Rank of the root.
     * @param costs Slot time that the root takes at each service, if its calls carry it; empty otherwise.
     * @return The class.
     */
    [[nodiscard]] virtual RankClass classAt(const std::string &service, const std::string &kind, const Rank &rank, const RootCosts &costs) const = 0;

    /**
     * @brief Returns the slot time that a root of a kind takes at each service, to be sent with its calls.
     * @return The costs; empty where they are declared, or nothing is known.
     */
    [[nodiscard]] virtual RootCosts costsOf(const std::string & /*service*/, const std::string & /*kind*/) const
    {
        return {};
    }

    /**
     * @brief Records the load that a serving daemon reported for its own server.
     * @param report The report.
     * @param now Current time.
     */
    virtual void noteLoad(const ServerLoadReport &report, SteadyTime now) = 0;

    /**
     * @brief Records the level of a downstream service that another daemon forwarded.
     * @param report The report.
     */
    virtual void noteLevel(const ServiceLevelReport &report) = 0;

    /**
     * @brief Returns the levels of downstream services, to be forwarded to callers.
     * @param service Service whose callers receive them.
     * @param now Current time.
     * @return The recently reported levels.
     */
    [[nodiscard]] virtual std::vector<ServiceLevelReport> downstreamLevels(const std::string &service, SteadyTime now) = 0;

    /**
     * @brief Records a successful run at the local backend server, with the inner calls that it made.
     * @param run The run.
     */
    virtual void noteRun(const RunCalls & /*run*/)
    {
    }

    /**
     * @brief Records the call chain that a serving daemon reported for a kind that it serves.
     * @param kind The kind.
     * @param slotTimes Slot times of its chain.
     */
    virtual void noteChain(const KindName & /*kind*/, const SlotTimeByService & /*slotTimes*/)
    {
    }

    /**
     * @brief Tells whether the chain of a kind is to be asked for with the next call of it.
     * @return True while too few daemons have reported it.
     */
    [[nodiscard]] virtual bool needsChain(const KindName & /*kind*/) const
    {
        return false;
    }

    /**
     * @brief Returns the learned call chain of a kind that is served here, to be sent to its callers.
     * @return The chain; empty if nothing is known, or the implementation does not learn chains.
     */
    [[nodiscard]] virtual SlotTimeByService learnedChain(const KindName & /*kind*/) const
    {
        return {};
    }

    /**
     * @brief Decides if a root is admitted.
     * @param request The root.
     * @param now Current time.
     * @return The refusal, or nothing if the root is admitted.
     */
    [[nodiscard]] virtual std::optional<EntryRefusal> check(const EntryRequest &request, SteadyTime now) = 0;
};

} // namespace egretlatch::admission

#endif
