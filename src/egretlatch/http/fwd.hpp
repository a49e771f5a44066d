#ifndef EGRETLATCH_HTTP_FWD_HPP
#define EGRETLATCH_HTTP_FWD_HPP

namespace egretlatch::http
{

struct Request;
struct Response;
struct ReadLimits;
struct ServerLimits;
enum class Failure;
class AnswerQueue;
class RequestReader;
class ResponseReader;
class Server;
class ServerConnection;
class ClientConnection;
class ClientPool;

} // namespace egretlatch::http

#endif
