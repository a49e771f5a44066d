#ifndef EGRETLATCH_CLI_PLATFORM_PORT_HPP
#define EGRETLATCH_CLI_PLATFORM_PORT_HPP

#include <egretlatch/core/clock.hpp>
#include <egretlatch/store/requests.hpp>

namespace egretlatch::cli
{

/*! @brief Synchronous access to the platform for commands: one request at a time. */
class PlatformPort
{
public:
    virtual ~PlatformPort() = default;

    /**
     * @brief Sends a request and waits for its outcome.
     * @param request The request.
     * @return The outcome.
     */
    [[nodiscard]] virtual store::Outcome send(const store::Request &request) = 0;

    /**
     * @brief Waits between two attempts.
     * @param span Time to wait.
     */
    virtual void wait(Duration span) = 0;
};

} // namespace egretlatch::cli

#endif
