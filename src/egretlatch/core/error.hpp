#ifndef EGRETLATCH_CORE_ERROR_HPP
#define EGRETLATCH_CORE_ERROR_HPP

#include <string>

#include <tl/expected.hpp>

namespace egretlatch
{

/*! @brief What kind of failure an Error is. */
enum class ErrorCode {
    /*! @brief The input has a form that is not allowed. */
    malformed,
    /*! @brief The other side speaks another version of the protocol. */
    wrongVersion,
    /*! @brief A resource of the machine could not be had: an address, a file. */
    unavailable,
    /*! @brief The other side did not answer in time; the effect is unknown. */
    timedOut,
    /*! @brief A condition of a write did not hold; nothing was written. */
    conflict,
    /*! @brief There is no such row, object or record. */
    notFound,
    /*! @brief The other side refused for lack of capacity; nothing was done. */
    rateLimited,
    /*! @brief The token or key is missing or wrong. */
    forbidden,
};

/*! @brief A failure with a text for people. */
struct Error
{
    ErrorCode code{};
    std::string message;

    friend bool operator==(const Error &, const Error &) = default;
};

/*! @brief A value or the failure that kept it from being had. */
template<typename Type>
using Result = tl::expected<Type, Error>;

} // namespace egretlatch

#endif
