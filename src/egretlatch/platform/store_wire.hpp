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
 * @brief Converts a store request to the platform's HTTP.
 * @param request The request.
 * @return The HTTP request; nothing for object requests, which are never sent to this platform.
 */
[[nodiscard]] std::optional<http::Request> writeStoreRequest(const store::Request &request);

/**
 * @brief Reads the store's answer to a request of writeStoreRequest().
 * @param request The request.
 * @param answer The complete answer.
 * @return The outcome; `timedOut` for a status that leaves open if the request took effect.
 */
[[nodiscard]] store::Outcome readStoreAnswer(const store::Request &request, const http::Response &answer);

/*! @brief Page of changes to the operators' table. */
struct ConfigurationPage
{
    /*! @brief Configurations of the page, oldest first, as the operators wrote them. */
    std::vector<QByteArray> documents;
    /*! @brief Position that the next request continues from. */
    std::uint64_t position{};
    /*! @brief Time of the store's clock at which the page was complete; nothing if it is missing. */
    std::optional<store::StoreTime> now{};

    friend bool operator==(const ConfigurationPage &, const ConfigurationPage &) = default;
};

/*! @brief Returns the request that reads the current configuration. */
[[nodiscard]] http::Request writeConfigurationRead();

/**
 * @brief Returns the request that waits for a change.
 * @param position End of the last page.
 * @param wait Time that the store holds the request while there is no change.
 */
[[nodiscard]] http::Request writeConfigurationLongPoll(std::uint64_t position, std::chrono::milliseconds wait);

/**
 * @brief Reads the answer to a read or a long poll of the configuration.
 * @param answer The complete answer.
 * @return The page; `notFound` if the store has dropped changes since the position, `rateLimited` or `unavailable` if it
 *         refused, `malformed` if the page cannot be read.
 */
[[nodiscard]] Result<ConfigurationPage> readConfigurationPage(const http::Response &answer);

} // namespace egretlatch::platform

#endif
