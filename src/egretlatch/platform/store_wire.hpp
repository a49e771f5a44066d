#ifndef EGRETLATCH_PLATFORM_STORE_WIRE_HPP
#define EGRETLATCH_PLATFORM_STORE_WIRE_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include <QByteArray>

#include <egretlatch/core/error.hpp>
#include <egretlatch/http/message.hpp>
#include <egretlatch/store/requests.hpp>

namespace egretlatch::platform
{

/**
 * @brief Puts a request to the store into the platform's HTTP.
 * @param request The request.
 * @return What to send, or nothing for a request about objects, which this platform is never asked for.
 */
[[nodiscard]] std::optional<http::Request> writeStoreRequest(const store::Request &request);

/**
 * @brief Reads the store's answer to such a request.
 * @param request The request.
 * @param answer The whole answer.
 * @return The outcome, `timedOut` for a status that does not say whether anything was done.
 */
[[nodiscard]] store::Outcome readStoreAnswer(const store::Request &request, const http::Response &answer);

/*! @brief What the store says of the operators' table. */
struct ConfigurationPage
{
    /*! @brief Configurations in the page, oldest first, as the operators wrote them. */
    std::vector<QByteArray> documents;
    /*! @brief Where the next look goes on from. */
    std::uint64_t position{};

    friend bool operator==(const ConfigurationPage &, const ConfigurationPage &) = default;
};

/*! @brief The request that reads what is in force now. */
[[nodiscard]] http::Request writeConfigurationRead();

/**
 * @brief Gives the request that waits for a change.
 * @param position Where the last page ended.
 * @param wait Time that the store holds the request while there is none.
 */
[[nodiscard]] http::Request writeConfigurationLongPoll(std::uint64_t position, std::chrono::milliseconds wait);

/**
 * @brief Reads the answer to either.
 * @param answer The whole answer.
 * @return The page; `notFound` if the store has dropped the changes since the position, `rateLimited` or `unavailable` if it
 *         refused, `malformed` if the page cannot be read.
 */
[[nodiscard]] Result<ConfigurationPage> readConfigurationPage(const http::Response &answer);

} // namespace egretlatch::platform

#endif
