#ifndef EGRETLATCH_ADMISSION_OPEN_ENTRY_HPP
#define EGRETLATCH_ADMISSION_OPEN_ENTRY_HPP

#include <egretlatch/admission/entry_control.hpp>

namespace egretlatch::admission
{

/*! @brief Baseline without entry control: admits every root. */
class OpenEntry final : public EntryControl
{
public:
    void setManifest(std::shared_ptr<const manifest::Manifest> manifest) override;
    [[nodiscard]] Rank rankOf(const std::string &service, const std::string &kind) const override;
    [[nodiscard]] RankClass classAt(const std::string &service, const std::string &kind, const Rank &rank, const RootCosts &costs) const override;
    void noteLoad(const ServerLoadReport &report, SteadyTime now) override;
    void noteLevel(const ServiceLevelReport &report) override;
    [[nodiscard]] std::vector<ServiceLevelReport> downstreamLevels(const std::string &service, SteadyTime now) override;
    [[nodiscard]] std::optional<EntryRefusal> check(const EntryRequest &request, SteadyTime now) override;

private:
    std::shared_ptr<const manifest::Manifest> m_manifest;
};

} // namespace egretlatch::admission

#endif
