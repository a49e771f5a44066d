#ifndef EGRETLATCH_STORE_FWD_HPP
#define EGRETLATCH_STORE_FWD_HPP

namespace egretlatch::store
{

struct Row;
struct TableRead;
struct TableScan;
struct RowCondition;
struct RowWrite;
struct TableWrite;
struct ObjectPut;
struct ObjectGet;
struct ObjectList;
struct HttpRequest;
struct StoreClock;
struct ClockReading;
class Backoff;
class ExpiredRows;
class IdentifiedWrite;
class RateLimiter;

} // namespace egretlatch::store

#endif
