#ifndef EGRETLATCH_ADMISSION_REQUEST_IDENTITY_HPP
#define EGRETLATCH_ADMISSION_REQUEST_IDENTITY_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace egretlatch::admission
{

/*! @brief Hash that identifies equal content: the same kind, method, path and body. */
using RequestFingerprint = std::uint64_t;

/*! @brief Identifies requests that are equal to a backend server: their content, and who sends it. */
struct RequestIdentity
{
    RequestFingerprint content{};
    /*! @brief Hash of the calling service and the client account. */
    std::uint64_t caller{};

    friend auto operator<=>(const RequestIdentity &, const RequestIdentity &) = default;
};

/*! @brief Parts of a request that determine its identity; valid as long as the request. */
struct RequestParts
{
    std::string_view kind;
    std::string_view method;
    /*! @brief Path with the query. */
    std::string_view path;
    std::string_view body;
    /*! @brief Service of the daemon at which the request entered the system. */
    std::string_view service;
    /*! @brief Client account; empty for none. */
    std::string_view account;
};

/**
 * @brief Computes the identity of a request.
 * @param parts Parts of the request.
 * @return The identity.
 */
[[nodiscard]] RequestIdentity identityOf(const RequestParts &parts);

/*! @brief Maximum number of identities in a message to other daemons; they fill the 512 bytes of a rumour. */
constexpr std::size_t maxIdentitiesPerMessage = 32;

/**
 * @brief Serializes identities for a message to other daemons.
 * @param requests The identities; at most `maxIdentitiesPerMessage` of them are written.
 * @return Sixteen bytes for each identity.
 */
[[nodiscard]] std::string toBytes(const std::vector<RequestIdentity> &requests);

/**
 * @brief Parses the output of toBytes().
 * @param bytes The bytes; a remainder of fewer than sixteen is ignored.
 * @return The identities.
 */
[[nodiscard]] std::vector<RequestIdentity> identitiesFrom(std::string_view bytes);

} // namespace egretlatch::admission

#endif
