#ifndef EGRETLATCH_PEER_PEER_AUTHENTICATOR_HPP
#define EGRETLATCH_PEER_PEER_AUTHENTICATOR_HPP

#include <set>
#include <string>
#include <thread>
#include <vector>

#include <zmq.hpp>

#include <egretlatch/account/metrics_sink.hpp>

namespace egretlatch::peer
{

/**
 * @brief Tells ZeroMQ which public keys may connect, on a thread of its own as ZeroMQ's authentication asks.
 *
 * ZeroMQ asks before it passes on any message of a connection, so a stranger's messages are never read.
 */
class PeerAuthenticator
{
public:
    /**
     * @brief Starts the thread.
     * @param context Context of the sockets to guard; must outlive this object, which ends once it is shut down.
     * @param accepted Public keys that may connect, as Z85 text.
     * @param metrics Takes counts of refused connections; must outlive this object.
     * @throws zmq::error_t If the context already has one.
     */
    PeerAuthenticator(zmq::context_t &context, const std::vector<std::string> &acceptedKeys, account::MetricsSink &metrics);
    PeerAuthenticator(const PeerAuthenticator &) = delete;
    PeerAuthenticator &operator=(const PeerAuthenticator &) = delete;

    /*! @brief Waits for the thread; the context must have been shut down. */
    ~PeerAuthenticator();

private:
    void run();
    [[nodiscard]] bool answerNextRequest();

    std::set<std::string> m_acceptedKeys;
    account::MetricsSink &m_metrics;
    zmq::socket_t m_socket;
    std::thread m_thread;
};

} // namespace egretlatch::peer

#endif
