#ifndef EGRETLATCH_CONFIGURATION_HEAD_HPP
#define EGRETLATCH_CONFIGURATION_HEAD_HPP

#include <cstdint>
#include <optional>
#include <string>

#include <egretlatch/core/clock.hpp>

namespace egretlatch::configuration
{

/*! @brief Record of one accepted configuration, as stored in the platform's table. */
struct Head
{
    std::uint64_t version{};
    /*! @brief contentHash() of the manifest, which is stored under objectName(). */
    std::string hash;
    /*! @brief Id of the submission, chosen by the submitter. */
    std::string submission;
    /*! @brief Name of the submitter, as given by the submitter. */
    std::string submitter;
    /*! @brief Time of the submission by the submitter's clock, in milliseconds. */
    WallTime submitted;

    friend bool operator==(const Head &, const Head &) = default;
};

/*! @brief Key of the row that holds the newest accepted configuration. */
inline constexpr const char *headKey = "configuration/head";

/*! @brief Number of versions before the newest whose rows are kept, so that a late resubmission can learn its result. */
inline constexpr std::uint64_t versionsKept = 1000;

/**
 * @brief Returns the key of a version's own row.
 * @param version The version.
 * @return The key; keys sort in the order of the versions.
 */
[[nodiscard]] std::string versionKey(std::uint64_t version);

/**
 * @brief Returns the name of the object that holds a manifest.
 * @param hash contentHash() of the manifest.
 * @return The name in the object store.
 */
[[nodiscard]] std::string objectName(const std::string &hash);

/**
 * @brief Encodes a head as the value of a row.
 * @param head The head.
 * @return Compact JSON.
 */
[[nodiscard]] std::string encodeHead(const Head &head);

/**
 * @brief Decodes the value of a row.
 * @param value The value; may be arbitrary text.
 * @return The head, or nothing if the value is not a valid one.
 */
[[nodiscard]] std::optional<Head> decodeHead(const std::string &value);

} // namespace egretlatch::configuration

#endif
