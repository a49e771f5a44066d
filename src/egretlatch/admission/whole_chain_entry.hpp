#ifndef EGRETLATCH_ADMISSION_WHOLE_CHAIN_ENTRY_HPP
#define EGRETLATCH_ADMISSION_WHOLE_CHAIN_ENTRY_HPP

#include <map>

#include <egretlatch/admission/chain_costs.hpp>
#include <egretlatch/admission/cost_source.hpp>
#include <egretlatch/admission/entry_control.hpp>
#include <egretlatch/admission/level_reports.hpp>
#include <egretlatch/core/random_source.hpp>

namespace egretlatch::admission
{

/**
 * @brief Refuses a root at once where the level of a service down its chain would refuse it.
 *
 * A root that fails at the tenth service has held slots at nine. Its place within its class is the same on each daemon, so
 * one that passes here passes further down as long as the levels stand.
 */
class WholeChainEntry final : public EntryControl
{
public:
    /**
     * @brief Builds the control.
     * @param random Source of random numbers for probes; must outlive it.
     * @param costSource Where costs are known from.
     */
    explicit WholeChainEntry(RandomSource &random, CostSource costSource = CostSource::declared);

    void setManifest(std::shared_ptr<const manifest::Manifest> manifest) override;
    [[nodiscard]] Rank rankOf(const std::string &service, const std::string &kind) const override;
    [[nodiscard]] RankClass classAt(const std::string &service, const std::string &kind, const Rank &rank, const RootCosts &costs) const override;
    [[nodiscard]] RootCosts costsOf(const std::string &service, const std::string &kind) const override;
    void noteLoad(const ServerLoadReport &news, SteadyTime now) override;
    void noteLevel(const ServiceLevelReport &news) override;
    [[nodiscard]] std::vector<ServiceLevelReport> downstreamLevels(const std::string &service, SteadyTime now) override;
    void noteRun(const RunCalls &run) override;
    void noteChain(const KindName &kind, const SlotTimeByService &stops) override;
    [[nodiscard]] SlotTimeByService learnedChain(const KindName &kind) const override;
    [[nodiscard]] std::optional<EntryRefusal> check(const EntryRequest &request, SteadyTime now) override;

private:
    struct Notes
    {
        /*! @brief What its serving daemons told of themselves. */
        LevelReports own;
        /*! @brief The latest of what the daemons between told of it. */
        ReportedLevel passedOn;
    };

    [[nodiscard]] std::optional<EntryRefusal> checkAt(const std::string &service, Duration held, const EntryRequest &request, SteadyTime now);
    [[nodiscard]] ReportedLevel levelOf(const std::string &service, SteadyTime now);

    RandomSource &m_random;
    CostSource m_costSource;
    std::shared_ptr<const manifest::Manifest> m_manifest;
    ChainCosts m_costs;
    LearnedChains m_learned;
    std::map<std::string, Notes> m_notes;
};

} // namespace egretlatch::admission

#endif
