#ifndef EGRETLATCH_CORE_FWD_HPP
#define EGRETLATCH_CORE_FWD_HPP

namespace egretlatch
{

enum class Verdict;
enum class ErrorCode;

class Clock;
class RandomSource;
class Waker;
class Uuid;
class UuidGenerator;
class Secret;
class Logger;

struct DaemonId;
struct CallId;
struct Incarnation;
struct Header;
struct Error;

template<typename>
class Ring;

} // namespace egretlatch

#endif
