#ifndef EGRETLATCH_MEMBERSHIP_RUMOUR_STORE_HPP
#define EGRETLATCH_MEMBERSHIP_RUMOUR_STORE_HPP

#include <map>
#include <optional>
#include <vector>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/membership/rumour.hpp>

namespace egretlatch::membership
{

/*! @brief The rumours that hold now; bounded in number and size. */
class RumourStore
{
public:
    /**
     * @brief Takes a rumour.
     * @param rumour The rumour.
     * @param now Current time.
     * @return True if it is news; false if it is known, replaced, too large, or there is no room.
     */
    bool add(const Rumour &rumour, SteadyTime now);

    /**
     * @brief Finds a rumour.
     * @param key Its name.
     * @param now Current time.
     * @return The rumour with the time left to it, or nothing.
     */
    [[nodiscard]] std::optional<Rumour> find(const RumourKey &key, SteadyTime now) const;

    /**
     * @brief Lists a part of the rumours.
     * @param page Which part, counted from zero.
     * @param pageSize Rumours of a part.
     * @param now Current time.
     * @return The rumours with the time left to them.
     */
    [[nodiscard]] std::vector<Rumour> page(std::size_t page, std::size_t pageSize, SteadyTime now) const;

    /**
     * @brief Lists the departures of backend servers beside a daemon.
     * @param daemon The daemon.
     * @param now Current time.
     * @return The rumours with the time left to them.
     */
    [[nodiscard]] std::vector<Rumour> departuresOf(const DaemonId &daemon, SteadyTime now) const;

    /**
     * @brief Forgets what no longer holds.
     * @param now Current time.
     */
    void expire(SteadyTime now);

    /**
     * @brief Sums up what holds.
     * @return A number that two stores share if they hold the same versions of the same rumours.
     */
    [[nodiscard]] std::uint64_t digest() const;

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_rumours.size();
    }

private:
    struct Entry
    {
        Rumour rumour;
        std::optional<SteadyTime> expires;
    };

    [[nodiscard]] static Rumour withRemainingTime(const Entry &entry, SteadyTime now);

    std::map<RumourKey, Entry> m_rumours;
};

} // namespace egretlatch::membership

#endif
