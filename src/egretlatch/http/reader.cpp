#include <egretlatch/http/reader.hpp>

#include <limits>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace egretlatch::http
{

namespace beast = boost::beast::http;

namespace internal
{

template<bool isRequest>
class ParserState
{
public:
    explicit ParserState(const ReadLimits &limits)
    {
        parser.eager(true);
        // The parser's own count admits one byte more than the limit, so it gets the limit unchanged.
        parser.header_limit(limits.headerBytes);
        parser.body_limit(limits.bodyBytes);
    }

    beast::parser<isRequest, beast::string_body> parser;
};

[[nodiscard]] static ReadError readErrorOf(const boost::beast::error_code &code)
{
    if (code == beast::error::header_limit) {
        return ReadError::headerTooLarge;
    }
    return code == beast::error::body_limit ? ReadError::bodyTooLarge : ReadError::malformed;
}

template<typename Fields>
[[nodiscard]] static Headers headersOf(const Fields &fields)
{
    Headers headers;
    for (const auto &field : fields) {
        const auto name = field.name_string();
        const auto value = field.value();
        headers.push_back({.name = {name.data(), name.size()}, .value = {value.data(), value.size()}});
    }
    return headers;
}

[[nodiscard]] static QByteArray bytesOf(const std::string &body)
{
    return {body.data(), static_cast<qsizetype>(body.size())};
}

} // namespace internal

template<typename Message>
Reader<Message>::Reader(const ReadLimits limits)
    : m_limits{limits}
{
    startNext();
}

template<typename Message>
Reader<Message>::~Reader() = default;

template<typename Message>
void Reader<Message>::feed(const QByteArray &bytes)
{
    append(bytes);
    advance();
}

template<typename Message>
void Reader<Message>::advance()
{
    while (m_state != ReadState::complete && m_state != ReadState::failed && !m_unparsed.isEmpty()) {
        boost::beast::error_code code;
        const std::size_t consumed = m_parser->parser.put(boost::asio::buffer(m_unparsed.constData(), static_cast<std::size_t>(m_unparsed.size())), code);
        m_unparsed.remove(0, static_cast<qsizetype>(consumed));
        if (code && code != beast::error::need_more) {
            m_error = internal::readErrorOf(code);
            m_state = ReadState::failed;
            return;
        }
        if (m_parser->parser.is_done()) {
            m_state = ReadState::complete;
            return;
        }
        m_state = m_parser->parser.is_header_done() ? ReadState::readingBody : ReadState::readingHeader;
        if (consumed == 0) {
            return;
        }
    }
}

template<typename Message>
void Reader<Message>::finish()
{
    if (m_state != ReadState::readingBody) {
        m_state = m_state == ReadState::complete ? m_state : ReadState::failed;
        return;
    }
    boost::beast::error_code code;
    m_parser->parser.put_eof(code);
    const bool isComplete = !code && m_parser->parser.is_done() && m_unparsed.isEmpty();
    m_state = isComplete ? ReadState::complete : ReadState::failed;
}

template<typename Message>
bool Reader<Message>::expectsContinue() const
{
    if constexpr (isRequest) {
        return m_state == ReadState::readingBody && isSameName(std::string{m_parser->parser.get()[beast::field::expect]}, "100-continue");
    }
    return false;
}

template<typename Message>
Message Reader<Message>::take()
{
    auto parsed = m_parser->parser.release();
    Message message;
    message.keepsConnection = parsed.keep_alive();
    message.headers = internal::headersOf(parsed);
    message.body = internal::bytesOf(parsed.body());
    if constexpr (isRequest) {
        message.method = std::string{parsed.method_string()};
        message.target = std::string{parsed.target()};
    } else {
        message.status = static_cast<int>(parsed.result_int());
        message.keepsConnection = message.keepsConnection && !parsed.need_eof();
    }
    startNext();
    return message;
}

template<typename Message>
void Reader<Message>::startNext()
{
    m_parser = std::make_unique<internal::ParserState<isRequest>>(m_limits);
    m_state = ReadState::waiting;
}

template class Reader<Request>;
template class Reader<Response>;

} // namespace egretlatch::http
