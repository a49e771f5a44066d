#ifndef EGRETLATCH_CONFIGURATION_HEAD_HPP
#define EGRETLATCH_CONFIGURATION_HEAD_HPP

#include <cstdint>
#include <optional>
#include <string>

#include <egretlatch/core/clock.hpp>

namespace egretlatch::configuration
{

/*! @brief One accepted configuration, as the table holds it. */
struct Head
{
    std::uint64_t version{};
    /*! @brief contentHash() of the manifest, which is stored under objectName(). */
    std::string hash;
    /*! @brief Id of the submission, chosen by who submitted. */
    std::string submission;
    /*! @brief Who submitted, in their own words. */
    std::string submitter;
    /*! @brief When it was submitted, by the submitter's clock, to the millisecond. */
    WallTime submitted;

    friend bool operator==(const Head &, const Head &) = default;
};

/*! @brief Key of the row that holds the newest accepted configuration. */
inline constexpr const char *headKey = "configuration/head";

/*! @brief Versions before the newest whose rows are kept, to tell a late resubmission how it ended. */
inline constexpr std::uint64_t versionsKept = 1000;

/**
 * @brief Gives the key of the row that a version keeps for itself.
 * @param version The version.
 * @return The key; in the order of the versions.
 */
[[nodiscard]] std::string versionKey(std::uint64_t version);

/**
 * @brief Gives the name of the object with a manifest.
 * @param hash Its contentHash().
 * @return The name.
 */
[[nodiscard]] std::string objectName(const std::string &hash);

/**
 * @brief Puts a head into the value of a row.
 * @param head The head.
 * @return JSON.
 */
[[nodiscard]] std::string encodeHead(const Head &head);

/**
 * @brief Reads the value of a row.
 * @param value The value; anything may stand there.
 * @return The head, or nothing.
 */
[[nodiscard]] std::optional<Head> decodeHead(const std::string &value);

} // namespace egretlatch::configuration

#endif
