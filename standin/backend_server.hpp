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

/*! @brief What a backend stand-in is told on its command line. */
struct BackendOptions
{
    std::uint16_t port{};
    std::string daemonUrl;
    std::string service;
    std::string manifestPath;
    /*! @brief Zero for the manifest's number. */
    int slots{};
    std::uint64_t seed{1};
};

/*! @brief How a backend stand-in misbehaves; set by `POST /control`. */
struct BackendBehaviour
{
    /*! @brief Factor on the time of each run. */
    double slowdown{1.0};
    /*! @brief Share of the requests that are answered with 500 at once. */
    double failShare{};
    /*! @brief Share of the requests that are refused with 503 and `not-run`. */
    double rejectShare{};
    /*! @brief Share of the requests whose connection is closed in the middle of the run. */
    double disconnectShare{};
    /*! @brief Requests whose body has this text end the process; empty for none. */
    std::string crashOn;
    /*! @brief Never answers. */
    bool hangs{};
    /*! @brief Claims in its load report to be idle. */
    bool reportsIdle{};
};

/*! @brief A backend server of one service. */
class BackendServer final : public QAbstractHttpServer
{
public:
    /**
     * @brief Builds a server that does not listen yet.
     * @param options What it serves.
     * @param service Its declaration.
     */
    BackendServer(BackendOptions options, egretlatch::manifest::ServiceSpec service);

    /*! @brief Announces itself to the daemon beside it, again and again until it is told to drain. */
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
 * @brief Runs a backend stand-in until it is killed.
 * @param options What it serves.
 * @param argc Count of the program's arguments.
 * @param argv The program's arguments.
 * @return Exit code.
 */
[[nodiscard]] int runBackend(BackendOptions options, int argc, char **argv);

} // namespace standin

#endif
