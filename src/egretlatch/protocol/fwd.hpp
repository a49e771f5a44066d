#ifndef EGRETLATCH_PROTOCOL_FWD_HPP
#define EGRETLATCH_PROTOCOL_FWD_HPP

namespace egretlatch::protocol
{

struct CallRequest;
struct CallAnswer;
struct CallCancel;
struct Envelope;

} // namespace egretlatch::protocol

#endif
