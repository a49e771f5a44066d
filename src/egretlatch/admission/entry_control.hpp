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

/*! @brief A root that asks to be let into the system. */
struct EntryRequest
{
    std::string service;
    std::string kind;
    Uuid root;
    Rank rank;

    friend bool operator==(const EntryRequest &, const EntryRequest &) = default;
};

/*! @brief Why a root is refused at the entry. */
struct EntryRefusal
{
    account::RefusalReason reason{};
    std::string rule;
    std::vector<account::Figure> figures;
    std::chrono::milliseconds retryAfter{};

    friend bool operator==(const EntryRefusal &, const EntryRefusal &) = default;
};

/*! @brief What a serving daemon told of its own backend server. */
struct ServerLoadReport
{
    std::string service;
    DaemonId daemon;
    LoadReport load;

    friend bool operator==(const ServerLoadReport &, const ServerLoadReport &) = default;
};

/*! @brief What is known of a service as a whole. */
struct ServiceLevelReport
{
    std::string service;
    ReportedLevel reported;

    friend bool operator==(const ServiceLevelReport &, const ServiceLevelReport &) = default;
};

/*! @brief A run that ended well, and the calls that it made. */
struct RunCalls
{
    KindName kind;
    std::map<KindName, int> calls;
    /*! @brief Time that it held its slot. */
    Duration held{};

    friend bool operator==(const RunCalls &, const RunCalls &) = default;
};

/*! @brief Refuses roots at the entry that a service down their chain would refuse anyway. */
class EntryControl
{
public:
    virtual ~EntryControl() = default;

    /**
     * @brief Takes a new configuration.
     * @param manifest The manifest in force.
     */
    virtual void setManifest(std::shared_ptr<const manifest::Manifest> manifest) = 0;

    /**
     * @brief Gives the rank that roots of a kind have.
     * @param service Name of the service.
     * @param kind Name of the kind.
     * @return The rank, with nothing invested; the lowest for an undeclared kind.
     */
    [[nodiscard]] virtual Rank rankOf(const std::string &service, const std::string &kind) const = 0;

    /**
     * @brief Gives the class that a request has at one service.
     * @param service Service that is called.
     * @param kind Kind that is called.
     * @param rank Rank of the root.
     * @param costs What the root takes at each service, where that goes along with its calls.
     * @return The class.
     */
    [[nodiscard]] virtual RankClass classAt(const std::string &service, const std::string &kind, const Rank &rank, const RootCosts &costs) const = 0;

    /**
     * @brief Gives what a root of a kind takes at each service, to go along with its calls.
     * @return Empty where it is declared, or nothing is known.
     */
    [[nodiscard]] virtual RootCosts costsOf(const std::string & /*service*/, const std::string & /*kind*/) const
    {
        return {};
    }

    /**
     * @brief Notes what a serving daemon told of its own server.
     * @param news What it told.
     * @param now Current time.
     */
    virtual void noteLoad(const ServerLoadReport &news, SteadyTime now) = 0;

    /**
     * @brief Notes what a daemon passed on of a service further down.
     * @param news What it told.
     */
    virtual void noteLevel(const ServiceLevelReport &news) = 0;

    /**
     * @brief Gives what is to be passed on of the services further down.
     * @param service Service whose callers are told.
     * @param now Current time.
     * @return What has been told lately.
     */
    [[nodiscard]] virtual std::vector<ServiceLevelReport> downstreamLevels(const std::string &service, SteadyTime now) = 0;

    /**
     * @brief Notes a run that ended well at the backend server here, with the calls that it made.
     * @param run The run.
     */
    virtual void noteRun(const RunCalls & /*run*/)
    {
    }

    /**
     * @brief Notes what a serving daemon told of the chain of a kind that it serves.
     * @param kind The kind.
     * @param stops Its chain.
     */
    virtual void noteChain(const KindName & /*kind*/, const SlotTimeByService & /*stops*/)
    {
    }

    /**
     * @brief Gives the chain of a kind that is served here, for those who call it.
     * @return Empty if nothing is known, or nobody asks.
     */
    [[nodiscard]] virtual SlotTimeByService learnedChain(const KindName & /*kind*/) const
    {
        return {};
    }

    /**
     * @brief Decides about a root.
     * @param request The root.
     * @param now Current time.
     * @return Nothing if it may go on, else why not.
     */
    [[nodiscard]] virtual std::optional<EntryRefusal> check(const EntryRequest &request, SteadyTime now) = 0;
};

} // namespace egretlatch::admission

#endif
