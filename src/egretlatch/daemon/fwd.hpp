#ifndef EGRETLATCH_DAEMON_FWD_HPP
#define EGRETLATCH_DAEMON_FWD_HPP

namespace egretlatch::daemon
{

struct EventRings;
struct ActionRings;

class CallerServer;
class GuardedTcpServer;
class SingleUseBody;
class ConditionWaker;
class DescriptorWaker;
class PeerThread;
class DecideThread;
class BackendClient;
class HttpClientPool;
class PlatformClient;
class RefusalRecorder;
class SpanExporter;
class EventLoopWaker;
class Daemon;

} // namespace egretlatch::daemon

#endif
