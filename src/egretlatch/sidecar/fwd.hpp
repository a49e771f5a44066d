#ifndef EGRETLATCH_SIDECAR_FWD_HPP
#define EGRETLATCH_SIDECAR_FWD_HPP

namespace egretlatch::sidecar
{

class BackendRunner;
class CallerFront;
class ConfigurationFeed;
class LevelLog;
class ReportIntake;
class RequestLog;
class ServerLife;
class Sidecar;
class StoreClient;

} // namespace egretlatch::sidecar

#endif
