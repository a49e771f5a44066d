#ifndef EGRETLATCH_SIDECAR_CALLER_FRONTEND_HPP
#define EGRETLATCH_SIDECAR_CALLER_FRONTEND_HPP

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include <egretlatch/core/random_source.hpp>
#include <egretlatch/decision/action.hpp>
#include <egretlatch/decision/event.hpp>
#include <egretlatch/http/server.hpp>
#include <egretlatch/manifest/manifest.hpp>
#include <egretlatch/routing/weighted_targets.hpp>

namespace egretlatch::sidecar
{

/*! @brief Accepts plain HTTP requests from callers on this VM, resolves their routes, and returns the answers. */
class CallerFrontend
{
public:
    using EventHandler = std::function<void(decision::Event event)>;

    /**
     * @brief Builds a frontend that does not listen yet.
     * @param poller Watches its sockets; must outlive it.
     * @param clock Source of time; must outlive it.
     * @param random Source of random numbers; must outlive it.
     * @param service Service of the backend server on this VM.
     * @param onEvent Receives calls and disconnections of callers.
     */
    CallerFrontend(net::Poller &poller, const Clock &clock, RandomSource &random, std::string service, EventHandler onEvent);

    [[nodiscard]] Result<void> listen(const net::Endpoint &endpoint)
    {
        return m_server.listen(endpoint);
    }

    /**
     * @brief Replaces the configuration that requests are routed by.
     * @param manifest The configuration.
     */
    void setManifest(std::shared_ptr<const manifest::Manifest> manifest);

    /*! @brief Enables or disables concurrent execution of idempotent requests of one connection. */
    void setOverlap(bool overlaps)
    {
        m_overlaps = overlaps;
    }

    /**
     * @brief Answers a request; does nothing if the caller has disconnected.
     * @param action Exchange and answer.
     */
    void answer(const decision::AnswerCaller &action);

    /*! @brief Answers all requests in flight with 502, as they may have run, and all later ones with 503: nothing is passed on any more. */
    void failAll();

    [[nodiscard]] http::Server &server() noexcept
    {
        return m_server;
    }

private:
    void handleRequest(ExchangeId exchange, http::Request request, SteadyTime readAt);
    [[nodiscard]] bool mayOverlap(const http::Request &request) const;

    const Clock &m_clock;
    std::string m_service;
    EventHandler m_onEvent;
    routing::WeightedTargets m_targets;
    std::shared_ptr<const manifest::Manifest> m_manifest;
    bool m_overlaps{true};
    bool m_hasFailed{};
    /*! @brief Names of the requests in flight. */
    std::unordered_map<ExchangeId, std::string> m_requestNames;
    http::Server m_server;
};

} // namespace egretlatch::sidecar

#endif
