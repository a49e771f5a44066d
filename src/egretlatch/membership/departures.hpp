#ifndef EGRETLATCH_MEMBERSHIP_DEPARTURES_HPP
#define EGRETLATCH_MEMBERSHIP_DEPARTURES_HPP

#include <deque>
#include <string>

namespace egretlatch::membership
{

/**
 * @brief The lives of backend servers beside this daemon that have said that they leave; bounded in number.
 *
 * Such a word binds by the life that it names, whether or not anything else was heard of that life: a heartbeat that was sent
 * before it may come after it.
 */
class Departures
{
public:
    /**
     * @brief Takes it that a life has said that it leaves.
     * @param life Name of the life.
     * @return True if that is news.
     */
    bool note(const std::string &incarnation);

    /**
     * @brief Says whether a life has said that it leaves.
     * @param life Name of the life.
     * @return True if it has.
     */
    [[nodiscard]] bool contains(const std::string &incarnation) const;

private:
    /*! @brief Oldest first. */
    std::deque<std::string> m_incarnations;
};

} // namespace egretlatch::membership

#endif
