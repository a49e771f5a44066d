#ifndef EGRETLATCH_SIDECAR_FWD_HPP
#define EGRETLATCH_SIDECAR_FWD_HPP

namespace egretlatch::sidecar
{

class BackendRunner;
class CallerFrontend;
class ConfigurationFeed;
class EventPump;
class LevelLog;
class ReportHandler;
class ReportListener;
class ReportServer;
class RequestLog;
class ServerTracker;
class Sidecar;
class StoreClient;

} // namespace egretlatch::sidecar

#endif
