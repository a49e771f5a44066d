#ifndef EGRETLATCH_RETRY_FWD_HPP
#define EGRETLATCH_RETRY_FWD_HPP

namespace egretlatch::retry
{

enum class AttemptEnd;
enum class KeyKnowledge;
enum class KeyState;
enum class UnownedKeys;

struct GrantTimes;
struct KeyInterval;
struct KeyOwner;
struct HeldAnswer;
struct KeyLookup;
struct KeyLedgerLimits;

class RequestKey;
class KeyLedger;
class ReplayWindow;
class ShardRow;
class ShardGrants;
class RatioBudget;
class PreferredShards;

} // namespace egretlatch::retry

#endif
