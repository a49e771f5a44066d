#ifndef EGRETLATCH_CLI_HTTP_PLATFORM_PORT_HPP
#define EGRETLATCH_CLI_HTTP_PLATFORM_PORT_HPP

#include <egretlatch/cli/platform_port.hpp>
#include <egretlatch/daemon/platform_client.hpp>

namespace egretlatch::cli
{

/*! @brief Sends requests to the platform over HTTP; requires an application object and runs its event loop while waiting. */
class HttpPlatformPort final : public PlatformPort
{
public:
    /**
     * @brief Builds a port.
     * @param access URL and token of the platform.
     */
    explicit HttpPlatformPort(daemon::PlatformAccess access);

    [[nodiscard]] store::Outcome send(const store::Request &request) override;
    void wait(Duration span) override;

private:
    daemon::PlatformClient m_client;
};

} // namespace egretlatch::cli

#endif
