#ifndef EGRETLATCH_ACCOUNT_FWD_HPP
#define EGRETLATCH_ACCOUNT_FWD_HPP

namespace egretlatch::account
{

enum class RefusalReason;

struct Figure;
struct Refusal;
struct TraceContext;
struct Span;

class MetricsSink;
class MetricsRegistry;

} // namespace egretlatch::account

#endif
