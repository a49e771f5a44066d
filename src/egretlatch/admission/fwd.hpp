#ifndef EGRETLATCH_ADMISSION_FWD_HPP
#define EGRETLATCH_ADMISSION_FWD_HPP

namespace egretlatch::admission
{

enum class RunOutcome;

struct Rank;
struct RankClass;
struct Level;
struct ReportedLevel;
struct KindPace;
struct LoadReport;
struct Ticket;
struct Observation;
struct GateAnswer;
struct GateRelease;
struct EntryRequest;
struct EntryRefusal;
struct ServerLoadReport;
struct ServiceLevelReport;
struct Waiting;
struct QueueState;
struct LimitSample;

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
class PaceMeter;

} // namespace egretlatch::admission

#endif
