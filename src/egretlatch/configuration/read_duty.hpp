#ifndef EGRETLATCH_CONFIGURATION_READ_DUTY_HPP
#define EGRETLATCH_CONFIGURATION_READ_DUTY_HPP

#include <cstddef>
#include <string_view>

namespace egretlatch::configuration
{

/*! @brief Part that a daemon takes in reading configurations from the store for the whole fleet. */
enum class ReadDuty {
    /*! @brief Takes configurations from other daemons. */
    none,
    /*! @brief Takes the place of a reader that no longer confirms. */
    deputy,
    /*! @brief Reads all the time. */
    reader,
};

/*! @brief Place of a reader among all readers, which spreads their calls over time. */
struct ReadTurn
{
    std::size_t index{};
    /*! @brief Number of readers; zero if the daemon is none. */
    std::size_t count{};

    friend bool operator==(const ReadTurn &, const ReadTurn &) = default;
};

/*! @brief Reason for which a daemon reads configurations from the store. */
enum class ReadReason {
    /*! @brief It does not read. */
    none,
    /*! @brief It has started, and no other daemon has given it a configuration. */
    start,
    /*! @brief It is a reader. */
    reader,
    /*! @brief It is a deputy, and no reader has confirmed the configuration lately. */
    deputy,
    /*! @brief Nobody has confirmed the configuration for long. */
    stale,
    /*! @brief It has to know whether it reaches the store itself. */
    contact,
};

/**
 * @brief Returns the name used in logs.
 * @param reason The reason.
 * @return The name of the enumerator.
 */
[[nodiscard]] constexpr std::string_view toString(const ReadReason reason) noexcept
{
    switch (reason) {
    case ReadReason::none:
        break;
    case ReadReason::start:
        return "start";
    case ReadReason::reader:
        return "reader";
    case ReadReason::deputy:
        return "deputy";
    case ReadReason::stale:
        return "stale";
    case ReadReason::contact:
        return "contact";
    }
    return "none";
}

} // namespace egretlatch::configuration

#endif
