#ifndef EGRETLATCH_ADMISSION_ENTRY_CONTROL_HPP
#define EGRETLATCH_ADMISSION_ENTRY_CONTROL_HPP

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <egretlatch/account/refusal.hpp>
#include <egretlatch/admission/load_report.hpp>
#include <egretlatch/admission/noted_level.hpp>
#include <egretlatch/admission/rank.hpp>
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

/*! @brief What an answer tells of the service that gave it and of those further down. */
struct ChainLoad
{
    std::string service;
    /*! @brief Kind that was called. */
    std::string kind;
    DaemonId daemon;
    LoadReport load;
    /*! @brief Highest level that calls of this kind meet at the services further down, and when it stood. */
    NotedLevel chainLevel;

    friend bool operator==(const ChainLoad &, const ChainLoad &) = default;
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
     * @brief Notes what a serving daemon told with an answer.
     * @param load What it told.
     * @param now Current time.
     */
    virtual void noteLoad(const ChainLoad &load, SteadyTime now) = 0;

    /**
     * @brief Notes the slot time that a completed call took, with all its inner calls.
     * @param service Service that was called.
     * @param kind Kind that was called.
     * @param slotTime The slot time.
     */
    virtual void noteSlotTime(const std::string &service, const std::string &kind, Duration slotTime) = 0;

    /**
     * @brief Gives the highest level that a kind's inner calls meet, as far as this daemon has been told.
     * @param service Service of the kind.
     * @param kind Name of the kind.
     * @param now Current time.
     * @return The level and when it stood; the lowest where nothing recent is known.
     */
    [[nodiscard]] virtual NotedLevel levelBelow(const std::string &service, const std::string &kind, SteadyTime now) = 0;

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
