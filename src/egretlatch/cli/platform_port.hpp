#ifndef EGRETLATCH_CLI_PLATFORM_PORT_HPP
#define EGRETLATCH_CLI_PLATFORM_PORT_HPP

#include <egretlatch/core/clock.hpp>
#include <egretlatch/store/requests.hpp>

namespace egretlatch::cli
{

/*! @brief The platform as a command sees it: one question at a time. */
class PlatformPort
{
public:
    virtual ~PlatformPort() = default;

    /**
     * @brief Asks and waits for the outcome.
     * @param request What is asked.
     * @return The outcome.
     */
    [[nodiscard]] virtual store::Outcome ask(const store::Request &request) = 0;

    /**
     * @brief Lets time pass.
     * @param span How long.
     */
    virtual void wait(Duration span) = 0;
};

} // namespace egretlatch::cli

#endif
