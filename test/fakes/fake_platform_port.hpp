#ifndef TEST_FAKES_FAKE_PLATFORM_PORT_HPP
#define TEST_FAKES_FAKE_PLATFORM_PORT_HPP

#include <deque>
#include <functional>

#include <platform_store.hpp>

#include <egretlatch/cli/platform_port.hpp>

namespace fakes
{

/*! @brief Outcome of one request to a fake platform. */
enum class ScriptedOutcome {
    /*! @brief Applied and answered. */
    answered,
    /*! @brief Applied, but the answer is lost. */
    answerLost,
    /*! @brief Lost before it reached the platform, and not applied. */
    requestLost,
    /*! @brief Refused with status 503, and not applied. */
    down,
};

/*! @brief In-memory platform with scripted failures; waits return immediately. */
class FakePlatformPort final : public egretlatch::cli::PlatformPort
{
public:
    /**
     * @brief Constructs a port.
     * @param store State of the platform; must outlive the port.
     * @param outcomes Outcomes of the first requests, in order; later requests are answered.
     */
    explicit FakePlatformPort(standin::PlatformStore &store, std::deque<ScriptedOutcome> outcomes = {})
        : m_store{store}
        , m_scriptedOutcomes{std::move(outcomes)}
    {
    }

    [[nodiscard]] egretlatch::store::Outcome send(const egretlatch::store::Request &request) override
    {
        using egretlatch::Error;
        using egretlatch::ErrorCode;
        if (beforeRequest) {
            beforeRequest(request);
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

    /*! @brief Callback before each request, with which a test can interleave requests of other clients. */
    std::function<void(const egretlatch::store::Request &)> beforeRequest;

private:
    standin::PlatformStore &m_store;
    std::deque<ScriptedOutcome> m_scriptedOutcomes;
};

} // namespace fakes

#endif
