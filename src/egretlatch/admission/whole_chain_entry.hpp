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
 * @brief Entry control that refuses a root if the level of any service of its call chain would refuse it.
 *
 * A root that is refused at the tenth service has already held slots at nine. Its position within its class is the same on
 * every daemon, so a root admitted here is also admitted downstream while the levels do not change.
 */
class WholeChainEntry final : public EntryControl
{
public:
    /**
     * @brief Creates the control.
     * @param random Source of random numbers for probes; must outlive it.
     * @param costSource Source of the costs.
     */
    explicit WholeChainEntry(RandomSource &random, CostSource costSource = CostSource::declared);

    void setManifest(std::shared_ptr<const manifest::Manifest> manifest) override;
    [[nodiscard]] Rank rankOf(const std::string &service, const std::string &kind) const override;
    [[nodiscard]] RankClass classAt(const std::string &service, const std::string &kind, const Rank &rank, const RootCosts &costs) const override;
    [[nodiscard]] RootCosts costsOf(const std::string &service, const std::string &kind) const override;
    void noteLoad(const ServerLoadReport &report, SteadyTime now) override;
    void noteLevel(const ServiceLevelReport &report) override;
    [[nodiscard]] std::vector<ServiceLevelReport> downstreamLevels(const std::string &service, SteadyTime now) override;
    void noteRun(const RunCalls &run) override;
    void noteChain(const KindName &kind, const SlotTimeByService &slotTimes) override;
    [[nodiscard]] bool needsChain(const KindName &kind) const override;
    [[nodiscard]] SlotTimeByService learnedChain(const KindName &kind) const override;
    [[nodiscard]] std::optional<EntryRefusal> check(const EntryRequest &request, SteadyTime now) override;

private:
    struct KnownLevels
    {
        /*! @brief Levels that its serving daemons reported themselves. */
        LevelReports direct;
        /*! @brief Latest level that intermediate daemons forwarded. */
        ReportedLevel forwarded;
    };

    [[nodiscard]] std::optional<EntryRefusal> checkAt(const std::string &service, Duration held, const EntryRequest &request, SteadyTime now);
    [[nodiscard]] ReportedLevel levelOf(const std::string &service, SteadyTime now);

    RandomSource &m_random;
    CostSource m_costSource;
    std::shared_ptr<const manifest::Manifest> m_manifest;
    ChainCosts m_costs;
    LearnedChains m_learned;
    std::map<std::string, KnownLevels> m_levels;
};

} // namespace egretlatch::admission

#endif
