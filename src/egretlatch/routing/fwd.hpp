#ifndef EGRETLATCH_ROUTING_FWD_HPP
#define EGRETLATCH_ROUTING_FWD_HPP

namespace egretlatch::routing
{

enum class AttemptOutcome;

struct RouteRequest;
struct AttemptResult;

class Router;
class AdaptiveRouter;
class LeastLoadedRouter;
class ServerPaces;
class ServerRecord;
class KindAverages;

} // namespace egretlatch::routing

#endif
