#ifndef EGRETLATCH_MEMBERSHIP_RUMOUR_STORE_HPP
#define EGRETLATCH_MEMBERSHIP_RUMOUR_STORE_HPP

#include <map>
#include <optional>
#include <vector>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/membership/rumour.hpp>

namespace egretlatch::membership
{

/*! @brief Store of the rumours that are currently valid; bounded in number and size. */
class RumourStore
{
public:
    /**
     * @brief Adds a rumour.
     * @param rumour The rumour.
     * @param now Current time.
     * @return True if it was added; false if it is already known, outdated or too large, or if the store is full.
     */
    bool add(const Rumour &rumour, SteadyTime now);

    /**
     * @brief Finds a rumour.
     * @param key Key of the rumour.
     * @param now Current time.
     * @return The rumour with its remaining time to live, or nothing.
     */
    [[nodiscard]] std::optional<Rumour> find(const RumourKey &key, SteadyTime now) const;

    /**
     * @brief Lists a page of the rumours.
     * @param page Number of the page, counted from zero.
     * @param pageSize Rumours per page.
     * @param now Current time.
     * @return The rumours with their remaining time to live.
     */
    [[nodiscard]] std::vector<Rumour> page(std::size_t page, std::size_t pageSize, SteadyTime now) const;

    /**
     * @brief Lists the departures of a daemon's backend servers.
     * @param daemon The daemon.
     * @param now Current time.
     * @return The rumours with their remaining time to live.
     */
    [[nodiscard]] std::vector<Rumour> departuresOf(const DaemonId &daemon, SteadyTime now) const;

    /**
     * @brief Removes expired rumours.
     * @param now Current time.
     */
    void expire(SteadyTime now);

    /**
     * @brief Computes a checksum of the stored rumours.
     * @return A number that is equal for two stores with the same versions of the same rumours.
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

    [[nodiscard]] bool hasRoomFor(RumourKind kind) const;
    [[nodiscard]] static Rumour withRemainingTime(const Entry &entry, SteadyTime now);

    std::map<RumourKey, Entry> m_rumours;
};

} // namespace egretlatch::membership

#endif
