#ifndef EGRETLATCH_ADMISSION_WHOLE_CHAIN_ENTRY_HPP
#define EGRETLATCH_ADMISSION_WHOLE_CHAIN_ENTRY_HPP

#include <map>
#include <utility>

#include <egretlatch/admission/chain_costs.hpp>
#include <egretlatch/admission/entry_control.hpp>
#include <egretlatch/admission/level_notes.hpp>
#include <egretlatch/core/random_source.hpp>

namespace egretlatch::admission
{

/**
 * @brief Refuses a root at once where the highest level down its chain would refuse it.
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
     */
    explicit WholeChainEntry(RandomSource &random);

    void setManifest(std::shared_ptr<const manifest::Manifest> manifest) override;
    [[nodiscard]] Rank rankOf(const std::string &service, const std::string &kind) const override;
    void noteLoad(const ChainLoad &load, SteadyTime now) override;
    void noteSlotTime(const std::string &service, const std::string &kind, Duration slotTime) override;
    [[nodiscard]] NotedLevel levelBelow(const std::string &service, const std::string &kind, SteadyTime now) override;
    [[nodiscard]] std::optional<EntryRefusal> check(const EntryRequest &request, SteadyTime now) override;

private:
    [[nodiscard]] NotedLevel worstLevel(const std::string &service, const std::string &kind, SteadyTime now);

    RandomSource &m_random;
    std::shared_ptr<const manifest::Manifest> m_manifest;
    ChainCosts m_costs;
    /*! @brief Levels of the gates themselves, by service. */
    std::map<std::string, LevelNotes> m_services;
    /*! @brief Levels further down, by service and kind that was called. */
    std::map<std::pair<std::string, std::string>, LevelNotes> m_chains;
};

} // namespace egretlatch::admission

#endif
