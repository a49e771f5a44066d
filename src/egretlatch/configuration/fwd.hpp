#ifndef EGRETLATCH_CONFIGURATION_FWD_HPP
#define EGRETLATCH_CONFIGURATION_FWD_HPP

namespace egretlatch::configuration
{

enum class ReadDuty;
enum class ReadReason;
enum class ReadCall;

struct Head;
struct ReadTurn;
struct PlannedCall;
struct PollConditions;
struct Peer;
struct FollowerOptions;
struct ReceivedVersion;
struct Advert;
struct BodyRequest;
struct BodyReply;
struct ReportedVersion;
struct Report;
struct SubmissionRequest;
struct SubmissionResult;

class FollowerDelegate;
class Follower;
class Confirmation;
class CurrencyProof;
class PollSchedule;
class Submission;

} // namespace egretlatch::configuration

#endif
