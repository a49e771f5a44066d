#ifndef EGRETLATCH_NET_TCP_ACCEPTOR_HPP
#define EGRETLATCH_NET_TCP_ACCEPTOR_HPP

#include <functional>

#include <egretlatch/core/clock.hpp>
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

    /**
     * @brief Builds one that does not listen yet.
     * @param poller Watches its socket; must outlive it.
     * @param clock Source of time; must outlive it.
     * @param handler Takes the connections.
     */
    TcpAcceptor(Poller &poller, const Clock &clock, Handler handler);
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
    const Clock &m_clock;
    Handler m_handler;
    SteadyTime m_lastAccept;
    int m_descriptor{-1};
};

} // namespace egretlatch::net

#endif
