#include <egretlatch/http/reader.hpp>

#include <stdexcept>

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
        // The parser's own count admits one byte more than the limit, so it gets the limit unchanged.
        parser.header_limit(limits.headerBytes);
        parser.body_limit(limits.bodyBytes);
    }

    beast::parser<isRequest, beast::string_body> parser;
    /*! @brief Fields of the header; trailers are not among them, so that none passes for a header field. */
    Headers headers;
    bool hasHeaders{};
};

// The parser throws for a field that is longer than it can store, which a limit of a larger size or a trailer lets through. An
// exception that leaves the event loop would end the process and all of its connections.
template<typename Parser>
[[nodiscard]] static std::size_t parse(Parser &parser, const QByteArray &bytes, boost::beast::error_code &code)
{
    try {
        return parser.put(boost::asio::buffer(bytes.constData(), static_cast<std::size_t>(bytes.size())), code);
    } catch (const std::length_error &) {
        code = beast::error::header_limit;
        return 0;
    }
}

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
        const std::size_t consumed = internal::parse(m_parser->parser, m_unparsed, code);
        m_unparsed.remove(0, static_cast<qsizetype>(consumed));
        if (code && code != beast::error::need_more) {
            fail(internal::readErrorOf(code));
            return;
        }
        keepHeaders();
        if (m_parser->parser.is_done()) {
            m_state = ReadState::complete;
            return;
        }
        m_state = m_parser->parser.is_header_done() ? ReadState::readingBody : ReadState::readingHeader;
        if (consumed == 0) {
            // Of a body, the parser leaves only an incomplete chunk header or trailer, which counts as header bytes.
            if (m_unparsed.size() > static_cast<qsizetype>(m_limits.headerBytes)) {
                fail(ReadError::headerTooLarge);
            }
            return;
        }
    }
}

template<typename Message>
void Reader<Message>::keepHeaders()
{
    if (!m_parser->hasHeaders && m_parser->parser.is_header_done()) {
        m_parser->hasHeaders = true;
        m_parser->headers = internal::headersOf(m_parser->parser.get());
    }
}

template<typename Message>
void Reader<Message>::fail(const ReadError error)
{
    m_error = error;
    m_state = ReadState::failed;
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
    message.headers = std::move(m_parser->headers);
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
