#ifndef EGRETLATCH_CORE_HEADER_HPP
#define EGRETLATCH_CORE_HEADER_HPP

#include <compare>
#include <string>
#include <vector>

namespace egretlatch
{

/*! @brief HTTP header field that is passed along with a call. */
struct Header
{
    std::string name;
    std::string value;

    friend auto operator<=>(const Header &, const Header &) = default;
};

using Headers = std::vector<Header>;

} // namespace egretlatch

#endif
