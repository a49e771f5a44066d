#ifndef EGRETLATCH_QUOTA_FWD_HPP
#define EGRETLATCH_QUOTA_FWD_HPP

namespace egretlatch::quota
{

struct Limit;
struct Rules;
struct AccountUse;
struct AccountGrant;
struct UseReport;
struct GrantReply;
struct Admission;
struct FleetShare;

class TokenBucket;
class Coordinator;
class Ledger;
class FleetView;

} // namespace egretlatch::quota

#endif
