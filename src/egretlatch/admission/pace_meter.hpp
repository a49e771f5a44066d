#ifndef EGRETLATCH_ADMISSION_PACE_METER_HPP
#define EGRETLATCH_ADMISSION_PACE_METER_HPP

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <egretlatch/admission/kind_pace.hpp>

namespace egretlatch::admission
{

/*! @brief Measures how fast the backend server beside a daemon is, and how often it fails. */
class PaceMeter
{
public:
    /**
     * @brief Takes a run that ended well.
     * @param kind Kind of the request.
     * @param own Time of the run without what it waited for inner calls.
     * @param now Current time.
     */
    void noteCompleted(const std::string &kind, Duration own, SteadyTime now);

    /**
     * @brief Takes a run that the server failed by itself.
     * @param kind Kind of the request.
     * @param now Current time.
     */
    void noteFailed(const std::string &kind, SteadyTime now);

    /**
     * @brief Takes a run that was given up: it would have taken longer still.
     * @param kind Kind of the request.
     * @param own Time of the run so far, without what it waited for inner calls.
     * @param now Current time.
     */
    void noteAbandoned(const std::string &kind, Duration own, SteadyTime now);

    /**
     * @brief Gives the pace at one kind.
     * @param kind Kind of the request.
     * @param now Current time.
     * @return The pace, or nothing with too few runs or none lately.
     */
    [[nodiscard]] std::optional<KindPace> paceAt(const std::string &kind, SteadyTime now) const;

    /**
     * @brief Gives what there is to tell other daemons.
     * @param now Current time.
     * @return The paces at the kinds that ran lately, at most `mostTold`.
     */
    [[nodiscard]] std::vector<KindPace> paces(SteadyTime now) const;

    /*! @brief Forgets everything: another server is there. */
    void clear();

    /*! @brief Paces that are told of one server at most; each costs some 20 bytes a message. */
    static constexpr std::size_t mostTold = 4;

private:
    struct Entry
    {
        Duration own{};
        double failing{};
        int runs{};
        SteadyTime last;
    };

    [[nodiscard]] Entry &entryOf(const std::string &kind);
    [[nodiscard]] static bool isKnown(const Entry &entry, SteadyTime now);

    std::map<std::string, Entry> m_entries;
};

} // namespace egretlatch::admission

#endif
