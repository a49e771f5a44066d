#ifndef EGRETLATCH_CORE_ERROR_HPP
#define EGRETLATCH_CORE_ERROR_HPP

#include <string>

#include <tl/expected.hpp>

namespace egretlatch
{

/*! @brief Category of an Error. */
enum class ErrorCode {
    /*! @brief The input has an invalid format. */
    malformed,
    /*! @brief The remote side uses another protocol version. */
    wrongVersion,
    /*! @brief A local resource, such as an address or a file, is not available. */
    unavailable,
    /*! @brief The remote side did not respond in time; whether the operation took effect is unknown. */
    timedOut,
    /*! @brief A precondition of a write failed; nothing was written. */
    conflict,
    /*! @brief The row, object or record does not exist. */
    notFound,
    /*! @brief The remote side rejected the request for lack of capacity; nothing was done. */
    rateLimited,
    /*! @brief The token or key is missing or wrong. */
    forbidden,
};

/*! @brief Error code with a human-readable message. */
struct Error
{
    ErrorCode code{};
    std::string message;

    friend bool operator==(const Error &, const Error &) = default;
};

/*! @brief Value, or the error that prevented it from being produced. */
template<typename Type>
using Result = tl::expected<Type, Error>;

} // namespace egretlatch

#endif
