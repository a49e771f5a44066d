#ifndef STANDIN_PLATFORM_SERVER_HPP
#define STANDIN_PLATFORM_SERVER_HPP

#include <chrono>
#include <cstdint>
#include <string>

#include <QAbstractHttpServer>
#include <QHttpServerRequest>
#include <QHttpServerResponder>
#include <QPointer>
#include <QTcpSocket>

#include <egretlatch/core/random_source.hpp>
#include <egretlatch/core/secret.hpp>
#include <egretlatch/store/rate_limiter.hpp>
#include <platform_store.hpp>

namespace standin
{

/*! @brief Command line options of the simulated platform. */
struct PlatformOptions
{
    std::uint16_t port{};
    /*! @brief Path of a file with the required bearer token; empty for no authentication. */
    std::string tokenFile;
    std::uint64_t seed{1};
};

/*! @brief Injected faults and rate limits of the simulated platform; set by `POST /control`. */
struct PlatformBehaviour
{
    /*! @brief Delay before each answer; the request itself is applied at once. */
    std::chrono::milliseconds latency{0};
    /*! @brief Rejects every store request with status 503 without applying it. */
    bool isDown{};
    /*! @brief Leaves every store request unanswered without applying it. */
    bool hangs{};
    /*! @brief Fraction of the successful writes whose connection is aborted instead of answered; the write stays applied. */
    double loseAnswerShare{};
    double readsPerSecond{2000.0};
    double writesPerSecond{400.0};
};

/*! @brief HTTP server that simulates the platform's table and object store. */
class PlatformServer final : public QAbstractHttpServer
{
public:
    /**
     * @brief Constructs a server that is not listening yet.
     * @param token Required bearer token; empty for no authentication.
     * @param seed Seed for the choice of the answers that are lost.
     */
    PlatformServer(egretlatch::Secret token, std::uint64_t seed);

protected:
    bool handleRequest(const QHttpServerRequest &request, QTcpSocket *socket) override;
    void missingHandler(const QHttpServerRequest &request, QTcpSocket *socket) override;

private:
    void handleControl(const QHttpServerRequest &request, QTcpSocket *socket);
    void handleCounts(const QHttpServerRequest &request, QTcpSocket *socket);
    void handleStore(const QHttpServerRequest &request, QTcpSocket *socket);
    [[nodiscard]] egretlatch::store::Outcome execute(const egretlatch::store::Request &request);

    egretlatch::Secret m_token;
    PlatformStore m_store;
    PlatformBehaviour m_behaviour;
    egretlatch::SeededRandom m_random;
    egretlatch::store::RateLimiter m_readLimiter;
    egretlatch::store::RateLimiter m_writeLimiter;
    std::uint64_t m_reads{};
    std::uint64_t m_writes{};
    std::uint64_t m_rateLimited{};
    std::uint64_t m_lostAnswers{};
};

/**
 * @brief Runs the simulated platform until the process is killed.
 * @param options Command line options.
 * @param argc Number of program arguments.
 * @param argv Program arguments.
 * @return Exit code: failure if the token cannot be read or the port is not available.
 */
[[nodiscard]] int runPlatform(const PlatformOptions &options, int argc, char **argv);

} // namespace standin

#endif
