#ifndef EGRETLATCH_ADMISSION_FWD_HPP
#define EGRETLATCH_ADMISSION_FWD_HPP

namespace egretlatch::admission
{

struct Rank;
struct Level;
struct LoadReport;
struct Ticket;
struct Observation;
struct GateAnswer;
struct GateRelease;
struct EntryRequest;
struct EntryRefusal;

class Gate;
class EntryControl;
class StaticGate;
class OpenEntry;

} // namespace egretlatch::admission

#endif
