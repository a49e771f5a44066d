#ifndef EGRETLATCH_RETRY_FWD_HPP
#define EGRETLATCH_RETRY_FWD_HPP

namespace egretlatch::retry
{

enum class AttemptEnd;
enum class KeyKnowledge;
enum class KeyStanding;
enum class UnownedKeys;

struct GrantTimes;
struct KeyInterval;
struct KeyOwner;
struct HeldAnswer;
struct KeyFinding;
struct KeyLedgerLimits;

class RequestKey;
class KeyLedger;
class CallWindow;
class ShardRow;
class ShardGrants;
class RatioBudget;

} // namespace egretlatch::retry

#endif
