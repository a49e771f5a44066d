#ifndef EGRETLATCH_MANIFEST_ACCOUNT_SPEC_HPP
#define EGRETLATCH_MANIFEST_ACCOUNT_SPEC_HPP

#include <optional>
#include <string>
#include <vector>

namespace egretlatch::manifest
{

/*! @brief Operators' declaration of a client account. */
struct AccountSpec
{
    std::string name;
    /*! @brief Priority of its requests, 0 to 9, in place of that of their kinds; empty to keep theirs. */
    std::optional<int> priority;
    /*! @brief Requests per second over all daemons; 0 for no limit. */
    double ratePerSecond{};
    /*! @brief Requests beyond the rate that may come at once. */
    double burst{};
    /*! @brief Digests of its API keys; see Secret::digest(). */
    std::vector<std::string> keyDigests;

    friend bool operator==(const AccountSpec &, const AccountSpec &) = default;
};

} // namespace egretlatch::manifest

#endif
