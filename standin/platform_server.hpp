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
#include <egretlatch/store/rate_cap.hpp>
#include <platform_store.hpp>

namespace standin
{

/*! @brief What a platform stand-in is told on its command line. */
struct PlatformOptions
{
    std::uint16_t port{};
    /*! @brief File with the bearer token that it asks for; empty for none. */
    std::string tokenFile;
    std::uint64_t seed{1};
};

/*! @brief How a platform stand-in misbehaves; set by `POST /control`. */
struct PlatformBehaviour
{
    std::chrono::milliseconds latency{0};
    /*! @brief Answers 503 and does nothing. */
    bool isDown{};
    /*! @brief Never answers and does nothing. */
    bool hangs{};
    /*! @brief Share of the writes that take effect and whose answer is lost. */
    double loseAnswerShare{};
    double readsPerSecond{2000.0};
    double writesPerSecond{400.0};
};

/*! @brief The platform's table and object store over HTTP. */
class PlatformServer final : public QAbstractHttpServer
{
public:
    /**
     * @brief Builds a server that does not listen yet.
     * @param token Bearer token that it asks for; empty for none.
     * @param seed Seed of its random choices.
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
    egretlatch::store::RateCap m_readCap;
    egretlatch::store::RateCap m_writeCap;
    std::uint64_t m_reads{};
    std::uint64_t m_writes{};
    std::uint64_t m_rateLimited{};
    std::uint64_t m_lostAnswers{};
};

/**
 * @brief Runs a platform stand-in until it is killed.
 * @param options What it is told.
 * @param argc Count of the program's arguments.
 * @param argv The program's arguments.
 * @return Exit code.
 */
[[nodiscard]] int runPlatform(const PlatformOptions &options, int argc, char **argv);

} // namespace standin

#endif
