#ifndef EGRETLATCH_NET_FWD_HPP
#define EGRETLATCH_NET_FWD_HPP

namespace egretlatch::net
{

enum class StreamEnd;
struct Endpoint;
class StreamListener;
struct Interest;
class DescriptorSet;
class EventDispatcher;
class Poller;
struct ReadBudgetLimits;
class BudgetedReader;
class ReadBudget;
class SendQueue;
class TcpStream;
class TcpAcceptor;

} // namespace egretlatch::net

#endif
