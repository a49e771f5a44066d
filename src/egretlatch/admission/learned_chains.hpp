#ifndef EGRETLATCH_ADMISSION_LEARNED_CHAINS_HPP
#define EGRETLATCH_ADMISSION_LEARNED_CHAINS_HPP

#include <map>
#include <set>
#include <string>

#include <egretlatch/admission/slot_time_by_service.hpp>

namespace egretlatch::admission
{

/**
 * @brief The call graph as it shows itself, for configurations that declare none.
 *
 * The daemon beside a backend server sees which calls its runs make. What those calls lead to is told by the daemons that
 * serve them, with their answers; so each daemon knows the whole chain of what it serves and tells it on.
 */
class LearnedChains
{
public:
    /**
     * @brief Notes a run that ended well at the backend server here.
     * @param kind What ran.
     * @param calls The calls that it made, by kind.
     * @param held Time that it held its slot.
     */
    void noteRun(const KindName &kind, const std::map<KindName, int> &calls, Duration held);

    /**
     * @brief Takes what a serving daemon tells of a kind that it serves.
     * @param kind The kind.
     * @param stops Its whole chain; an empty one says nothing.
     */
    void noteChain(const KindName &kind, const SlotTimeByService &stops);

    /**
     * @brief Gives the chain of a kind.
     * @param kind The kind.
     * @return What is known; empty for a kind of which nothing is.
     */
    [[nodiscard]] SlotTimeByService chain(const KindName &kind) const;

    /**
     * @brief Gives the services that any kind of a service reaches, its own left out.
     * @param service Name of the service.
     * @return Names of the services.
     */
    [[nodiscard]] std::set<std::string> downstreamServices(const std::string &service) const;

private:
    struct Seen
    {
        Duration held{};
        /*! @brief Calls for each run, on average. */
        std::map<KindName, double> calls;
    };

    struct Told
    {
        SlotTimeByService stops;
        int tellings{};
    };

    [[nodiscard]] SlotTimeByService chainOfSeen(const KindName &kind, const Seen &seen) const;

    /*! @brief Kinds that ran here. */
    std::map<KindName, Seen> m_seen;
    /*! @brief Kinds that ran elsewhere. */
    std::map<KindName, Told> m_told;
};

} // namespace egretlatch::admission

#endif
