#ifndef STANDIN_BACKEND_SERVER_HPP
#define STANDIN_BACKEND_SERVER_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <QAbstractHttpServer>
#include <QHttpServerRequest>
#include <QHttpServerResponder>
#include <QJsonObject>
#include <QPointer>
#include <QTcpSocket>
#include <QTimer>

#include <egretlatch/core/random_source.hpp>
#include <egretlatch/daemon/http_client_pool.hpp>
#include <egretlatch/manifest/manifest.hpp>

namespace standin
{

/*! @brief Command line options of a simulated backend server. */
struct BackendOptions
{
    std::uint16_t port{};
    std::string daemonUrl;
    std::string service;
    std::string manifestPath;
    /*! @brief Number of requests run concurrently; zero to use the number of slots in the manifest. */
    int slots{};
    std::uint64_t seed{1};
};

/*! @brief Injected faults of a simulated backend server; set by `POST /control`. */
struct BackendBehaviour
{
    /*! @brief Multiplier of the execution time of each request. */
    double slowdown{1.0};
    /*! @brief Fraction of the requests that are immediately answered with status 500. */
    double failShare{};
    /*! @brief Fraction of the requests that are refused with status 503 and verdict `not-run`. */
    double rejectShare{};
    /*! @brief Fraction of the requests whose connection is aborted after execution has started; `cutShare` in the document. */
    double disconnectShare{};
    /*! @brief Text that terminates the process when the body of a started request contains it; empty to disable. */
    std::string crashOn;
    /*! @brief Leaves started requests unanswered, each of which keeps its slot. */
    bool hangs{};
    /*! @brief Reports zero running and waiting requests at `/load`, whatever the actual load; `lies` in the document. */
    bool reportsIdle{};
};

/*! @brief Simulated backend server of one service: limits concurrency to its slots, queues requests and makes the declared inner calls. */
class BackendServer final : public QAbstractHttpServer
{
public:
    /**
     * @brief Constructs a server that is not listening yet.
     * @param options Command line options.
     * @param service Declaration of the service in the manifest.
     */
    BackendServer(BackendOptions options, egretlatch::manifest::ServiceSpec service);

    /*! @brief Sends an announcement to the daemon on the same VM; a timer repeats it every second for the lifetime of the server. */
    void announce();

protected:
    bool handleRequest(const QHttpServerRequest &request, QTcpSocket *socket) override;
    void missingHandler(const QHttpServerRequest &request, QTcpSocket *socket) override;

private:
    struct Run
    {
        const egretlatch::manifest::KindSpec *kind{};
        QHttpServerResponder responder;
        QPointer<QTcpSocket> socket;
        QByteArray callToken;
        QByteArray timeout;
        QByteArray trace;
        QByteArray key;
        QByteArray body;
        std::size_t nextCall{};
        int callsMade{};
    };

    using RunPtr = std::shared_ptr<Run>;

    void handleControl(const QHttpServerRequest &request, QTcpSocket *socket);
    void handleRun(const QHttpServerRequest &request, QTcpSocket *socket);
    void startQueued();
    void startRun(const RunPtr &run);
    void makeNextCall(const RunPtr &run);
    void handleInnerAnswer(const RunPtr &run, QNetworkReply *reply);
    void finishRun(const RunPtr &run, int status, const QByteArray &body);
    [[nodiscard]] QJsonObject executions() const;
    [[nodiscard]] QJsonObject loadReport() const;

    BackendOptions m_options;
    egretlatch::manifest::ServiceSpec m_service;
    BackendBehaviour m_behaviour;
    egretlatch::SeededRandom m_random;
    egretlatch::daemon::HttpClientPool m_pool;
    QTimer m_announceTimer;
    std::deque<RunPtr> m_queue;
    int m_running{};
    int m_maxRunning{};
    std::uint64_t m_startedRuns{};
    std::map<std::string, int> m_executions;
};

/**
 * @brief Runs a simulated backend server until the process is killed.
 * @param options Command line options.
 * @param argc Number of program arguments.
 * @param argv Program arguments.
 * @return Exit code: failure if the manifest cannot be read, does not declare the service, or the port is not available.
 */
[[nodiscard]] int runBackend(BackendOptions options, int argc, char **argv);

} // namespace standin

#endif
