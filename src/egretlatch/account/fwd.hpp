#ifndef EGRETLATCH_ACCOUNT_FWD_HPP
#define EGRETLATCH_ACCOUNT_FWD_HPP

namespace egretlatch::account
{

enum class RefusalReason;

struct Figure;
struct Refusal;
struct TraceContext;
struct Span;
struct RefusalRecord;
struct DroppedRefusals;
struct AccountBatch;
struct RefusalLedgerLimits;

class MetricsSink;
class DroppedTally;
class RefusalLedger;
class MetricsRegistry;

} // namespace egretlatch::account

#endif
