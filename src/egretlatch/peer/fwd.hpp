#ifndef EGRETLATCH_PEER_FWD_HPP
#define EGRETLATCH_PEER_FWD_HPP

namespace egretlatch::peer
{

enum class LinkState;
struct EndedLink;
struct LinkOptions;
struct PendingMessage;
struct SocketSource;

class FrameReader;
class GossipTraffic;
class InboundConnection;
class LinkTable;
class PeerAuthenticator;
class PeerExchange;
class PeerLink;
class SocketMonitor;
class SocketWatch;
class StreamExchange;
class StreamLink;

} // namespace egretlatch::peer

#endif
