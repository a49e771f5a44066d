#ifndef EGRETLATCH_ADMISSION_FWD_HPP
#define EGRETLATCH_ADMISSION_FWD_HPP

namespace egretlatch::admission
{

enum class RunOutcome;
enum class Suspicion;

struct Rank;
struct RankClass;
struct Level;
struct ReportedLevel;
struct KindPerformance;
struct LoadReport;
struct Ticket;
struct Observation;
struct GateRefusal;
struct GateRelease;
struct EntryRequest;
struct EntryRefusal;
struct ServerLoadReport;
struct ServiceLevelReport;
struct QueuedRequest;
struct QueueState;
struct LimitSample;
struct RequestIdentity;
struct RequestParts;
struct CrashEvidence;

class Gate;
class EntryControl;
class AdaptiveGate;
class SlotGate;
class StaticGate;
class PriorityGate;
class OpenGate;
class WholeChainEntry;
class OpenEntry;
class ConcurrencyLimit;
class LevelControl;
class LevelReports;
class RunEstimator;
class AdmissionQueue;
class ChainCosts;
class CrashSuspects;
class PerformanceMeter;
class ServerRateLimit;

} // namespace egretlatch::admission

#endif
