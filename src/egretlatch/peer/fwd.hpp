#ifndef EGRETLATCH_PEER_FWD_HPP
#define EGRETLATCH_PEER_FWD_HPP

namespace egretlatch::peer
{

enum class LinkState;
struct EndedLink;
struct LinkOptions;
struct SocketSource;
struct WaitingMessage;

class FrameReader;
class GossipTraffic;
class LinkTable;
class PeerAuthenticator;
class PeerExchange;
class PeerLink;
class SocketWatch;
class StreamExchange;
class StreamInlet;
class StreamLink;

} // namespace egretlatch::peer

#endif
