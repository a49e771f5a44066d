#ifndef EGRETLATCH_MEMBERSHIP_FWD_HPP
#define EGRETLATCH_MEMBERSHIP_FWD_HPP

namespace egretlatch::membership
{

enum class GossipPurpose;
enum class MemberState;
enum class MergeOutcome;
enum class UpdateSource;

struct Contact;
struct GossipMessage;
struct IsolationChange;
struct Member;
struct OutgoingGossip;
struct PeerSilence;
struct PingRelay;
struct Rumour;
struct RumourKey;
struct Suspicion;

class ContactBook;
class DepartureRecord;
class Departures;
class Gossip;
class IsolationMonitor;
class PingRelays;
class Prober;
class Roster;
class RumourStore;
class StatePull;
class UpdateQueue;

} // namespace egretlatch::membership

#endif
