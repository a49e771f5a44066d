#ifndef EGRETLATCH_MEMBERSHIP_DEPARTURES_HPP
#define EGRETLATCH_MEMBERSHIP_DEPARTURES_HPP

#include <deque>
#include <string>

namespace egretlatch::membership
{

/**
 * @brief Set of local backend server incarnations that have announced their departure; bounded, the oldest is dropped first.
 *
 * A departure applies to the incarnation that it names, even if nothing else is known of that incarnation: a heartbeat sent
 * before the departure may arrive after it.
 */
class Departures
{
public:
    /**
     * @brief Records the departure of an incarnation.
     * @param incarnation Name of the incarnation.
     * @return True if the departure was not known before.
     */
    bool note(const std::string &incarnation);

    /**
     * @brief Checks for the departure of an incarnation.
     * @param incarnation Name of the incarnation; one without a start stands for any incarnation of the server.
     * @return True if its departure has been recorded.
     */
    [[nodiscard]] bool contains(const std::string &incarnation) const;

private:
    /*! @brief Oldest first. */
    std::deque<std::string> m_incarnations;
};

} // namespace egretlatch::membership

#endif
