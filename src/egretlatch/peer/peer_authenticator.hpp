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
 * @brief Answers ZeroMQ's authentication requests with a list of accepted public keys, on a thread of its own as ZAP requires.
 *
 * ZeroMQ authenticates a connection before it delivers any of its messages, so those of an unknown key are never read.
 */
class PeerAuthenticator
{
public:
    /**
     * @brief Starts the thread.
     * @param context Context of the sockets to protect; must outlive this object, whose thread ends once the context is shut
     * down.
     * @param acceptedKeys Public keys that may connect, as Z85 text.
     * @param metrics Receives counts of refused connections; must outlive this object.
     * @throws zmq::error_t If the context already has an authenticator.
     */
    PeerAuthenticator(zmq::context_t &context, const std::vector<std::string> &acceptedKeys, account::MetricsSink &metrics);
    PeerAuthenticator(const PeerAuthenticator &) = delete;
    PeerAuthenticator &operator=(const PeerAuthenticator &) = delete;

    /*! @brief Waits for the thread to end; the context must have been shut down. */
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
