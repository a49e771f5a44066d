#ifndef EGRETLATCH_ADMISSION_OPEN_ENTRY_HPP
#define EGRETLATCH_ADMISSION_OPEN_ENTRY_HPP

#include <egretlatch/admission/entry_control.hpp>

namespace egretlatch::admission
{

/*! @brief A baseline: lets every root in. */
class OpenEntry final : public EntryControl
{
public:
    void setManifest(std::shared_ptr<const manifest::Manifest> manifest) override;
    [[nodiscard]] Rank rankOf(const std::string &service, const std::string &kind) const override;
    void noteLoad(const ChainLoad &load, SteadyTime now) override;
    void noteSlotTime(const std::string &service, const std::string &kind, Duration slotTime) override;
    [[nodiscard]] NotedLevel levelBelow(const std::string &service, const std::string &kind, SteadyTime now) override;
    [[nodiscard]] std::optional<EntryRefusal> check(const EntryRequest &request, SteadyTime now) override;

private:
    std::shared_ptr<const manifest::Manifest> m_manifest;
};

} // namespace egretlatch::admission

#endif
