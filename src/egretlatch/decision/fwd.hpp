#ifndef EGRETLATCH_DECISION_FWD_HPP
#define EGRETLATCH_DECISION_FWD_HPP

namespace egretlatch::decision
{

struct AccountDecision;
struct AccountRules;
struct CallerCall;
struct CallerAnswer;
struct RunRequest;
struct RunAnswer;
struct RefusalRecord;
struct PeerCall;
struct CoreContext;
struct CrashedRuns;
struct CrashReport;
struct RecordedSuspect;
struct ServerNotice;

enum class Delivery;
enum class RunFailure;

class AccountGate;
class EntryHandler;
class QuotaHandler;
class NamedLimit;
class ServingHandler;
class CrashDetector;
class SuspectRecord;
class ConfigurationRoles;
class Core;
class CoreBuilder;

} // namespace egretlatch::decision

#endif
