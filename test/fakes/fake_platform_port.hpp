#ifndef TEST_FAKES_FAKE_PLATFORM_PORT_HPP
#define TEST_FAKES_FAKE_PLATFORM_PORT_HPP

#include <deque>
#include <functional>

#include <platform_store.hpp>

#include <egretlatch/cli/platform_port.hpp>

namespace fakes
{

/*! @brief What becomes of one request to a fake platform. */
enum class ScriptedOutcome {
    answered,
    /*! @brief Carried out; the answer is lost. */
    answerLost,
    /*! @brief Lost on the way. */
    requestLost,
    /*! @brief Refused with 503. */
    down,
};

/*! @brief A platform in memory whose failures are told in advance; waits take no time. */
class FakePlatformPort final : public egretlatch::cli::PlatformPort
{
public:
    /**
     * @brief Builds a port.
     * @param store The platform's state; must outlive the port.
     * @param outcomes What becomes of the first requests; later ones are answered.
     */
    explicit FakePlatformPort(standin::PlatformStore &store, std::deque<ScriptedOutcome> outcomes = {})
        : m_store{store}
        , m_scriptedOutcomes{std::move(outcomes)}
    {
    }

    [[nodiscard]] egretlatch::store::Outcome ask(const egretlatch::store::Request &request) override
    {
        using egretlatch::Error;
        using egretlatch::ErrorCode;
        if (onAsk) {
            onAsk(request);
        }
        const ScriptedOutcome scripted = m_scriptedOutcomes.empty() ? ScriptedOutcome::answered : m_scriptedOutcomes.front();
        if (!m_scriptedOutcomes.empty()) {
            m_scriptedOutcomes.pop_front();
        }
        if (scripted == ScriptedOutcome::down) {
            return tl::unexpected{Error{ErrorCode::unavailable, "the platform is down"}};
        }
        if (scripted == ScriptedOutcome::requestLost) {
            return tl::unexpected{Error{ErrorCode::timedOut, "the platform did not answer"}};
        }
        egretlatch::store::Outcome outcome = m_store.apply(request);
        if (scripted == ScriptedOutcome::answerLost) {
            return tl::unexpected{Error{ErrorCode::timedOut, "the platform did not answer"}};
        }
        return outcome;
    }

    void wait(egretlatch::Duration /*span*/) override
    {
    }

    /*! @brief Called before each request, so that a test can let others act in between. */
    std::function<void(const egretlatch::store::Request &)> onAsk;

private:
    standin::PlatformStore &m_store;
    std::deque<ScriptedOutcome> m_scriptedOutcomes;
};

} // namespace fakes

#endif
