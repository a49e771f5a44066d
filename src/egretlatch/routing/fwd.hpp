#ifndef EGRETLATCH_ROUTING_FWD_HPP
#define EGRETLATCH_ROUTING_FWD_HPP

namespace egretlatch::routing
{

enum class AttemptOutcome;

struct RouteRequest;
struct AttemptResult;

class Router;
class AdaptiveRouter;
class KindAverages;
class LeastLoadedRouter;
class ServerPerformance;
class ServerRecord;

} // namespace egretlatch::routing

#endif
