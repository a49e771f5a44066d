#ifndef EGRETLATCH_NET_TCP_ACCEPTOR_HPP
#define EGRETLATCH_NET_TCP_ACCEPTOR_HPP

#include <functional>

#include <egretlatch/core/error.hpp>
#include <egretlatch/net/endpoint.hpp>
#include <egretlatch/net/poller.hpp>

namespace egretlatch::net
{

/*! @brief Listens at an address and hands over each connection. */
class TcpAcceptor
{
public:
    /*! @brief Takes the socket of a new connection, and owns it from then on. */
    using Handler = std::function<void(int descriptor)>;

    TcpAcceptor(Poller &poller, Handler handler);
    TcpAcceptor(const TcpAcceptor &) = delete;
    TcpAcceptor &operator=(const TcpAcceptor &) = delete;
    ~TcpAcceptor();

    /**
     * @brief Begins to listen.
     * @param endpoint Where.
     * @return Nothing, or `unavailable`.
     */
    [[nodiscard]] Result<void> listen(const Endpoint &endpoint);

    /*! @brief Takes no more connections. */
    void stop();

private:
    void acceptAvailable();

    Poller &m_poller;
    Handler m_handler;
    int m_descriptor{-1};
};

} // namespace egretlatch::net

#endif
