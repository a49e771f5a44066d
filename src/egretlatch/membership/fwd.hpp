#ifndef EGRETLATCH_MEMBERSHIP_FWD_HPP
#define EGRETLATCH_MEMBERSHIP_FWD_HPP

namespace egretlatch::membership
{

enum class MemberState;

struct Member;

class Roster;

} // namespace egretlatch::membership

#endif
