#ifndef EGRETLATCH_PEER_FWD_HPP
#define EGRETLATCH_PEER_FWD_HPP

namespace egretlatch::peer
{

enum class LinkState;
struct EndedLink;
struct LinkOptions;
struct SocketSource;
struct WaitingMessage;

class LinkTable;
class PeerAuthenticator;
class PeerExchange;
class PeerLink;
class SocketWatch;

} // namespace egretlatch::peer

#endif
