#ifndef EGRETLATCH_ADMISSION_LEARNED_CHAINS_HPP
#define EGRETLATCH_ADMISSION_LEARNED_CHAINS_HPP

#include <map>
#include <set>
#include <string>

#include <egretlatch/admission/slot_time_by_service.hpp>

namespace egretlatch::admission
{

/**
 * @brief Call graph learned from observed runs, for configurations that declare none.
 *
 * The daemon of a backend server observes which calls its runs make. The daemons that serve those calls report the further
 * chain with their answers, so each daemon knows the whole chain of the kinds that it serves and reports it to its own
 * callers.
 */
class LearnedChains
{
public:
    /**
     * @brief Records a successful run at the local backend server.
     * @param kind Kind of the run.
     * @param calls Number of inner calls that it made, by kind.
     * @param held Time that it held its slot.
     */
    void noteRun(const KindName &kind, const std::map<KindName, int> &calls, Duration held);

    /**
     * @brief Records the chain that a serving daemon reported for a kind that it serves.
     * @param kind The kind.
     * @param slotTimes Slot times of its whole chain; an empty chain is ignored.
     */
    void noteChain(const KindName &kind, const SlotTimeByService &slotTimes);

    /**
     * @brief Tells whether further reports of a kind's chain are needed.
     *
     * In a large fleet a daemon calls each kind rarely, and one that does not ask learns the chain only seconds after its start.
     * @param kind The kind.
     * @return True if the local server does not run it, and few daemons or only incomplete chains were reported.
     */
    [[nodiscard]] bool needsReport(const KindName &kind) const;

    /**
     * @brief Returns the chain of a kind.
     * @param kind The kind.
     * @return The known chain; empty for an unknown kind.
     */
    [[nodiscard]] SlotTimeByService chain(const KindName &kind) const;

    /**
     * @brief Returns the services that any kind of a service calls, directly or indirectly, without the service itself.
     * @param service Name of the service.
     * @return Names of the services.
     */
    [[nodiscard]] std::set<std::string> downstreamServices(const std::string &service) const;

private:
    struct LocalKind
    {
        Duration held{};
        /*! @brief Mean number of calls per run. */
        std::map<KindName, double> calls;
    };

    struct RemoteKind
    {
        SlotTimeByService slotTimes;
        int reports{};
    };

    [[nodiscard]] SlotTimeByService chainOfLocal(const KindName &kind, const LocalKind &local) const;

    /*! @brief Kinds that ran at the local backend server. */
    std::map<KindName, LocalKind> m_local;
    /*! @brief Kinds that other daemons serve, as reported by them. */
    std::map<KindName, RemoteKind> m_remote;
};

} // namespace egretlatch::admission

#endif
