#include <egretlatch/http/reader.hpp>

#include <algorithm>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

namespace egretlatch::http
{

namespace beast = boost::beast::http;

namespace internal
{

constexpr qsizetype longBodyBytes = qsizetype{2} * 1024 * 1024;
// Memory that is reserved and not used yet costs nothing.
constexpr qsizetype longBodyGrowth = 32;

/*!
 * @brief Parser that keeps a message in the project's own types.
 *
 * The message type of the library stores no field of more than 64 KB and throws for one, though a configuration may allow it.
 */
template<bool isRequest>
class ParserState final : public beast::basic_parser<isRequest>
{
public:
    explicit ParserState(const ReadLimits &limits)
        : m_maxTrailerBytes{limits.headerBytes}
        , m_maxBodyBytes{static_cast<qsizetype>(limits.bodyBytes)}
    {
        // The parser's own count admits one byte more than the limit, so it gets the limit unchanged.
        this->header_limit(limits.headerBytes);
        this->body_limit(limits.bodyBytes);
    }

    std::string method;
    std::string target;
    int status{};
    /*! @brief Fields of the header; trailers are not among them, so that none passes for a header field. */
    Headers headers;
    QByteArray body;

private:
    using Text = boost::beast::string_view;
    using Code = boost::beast::error_code;

    void on_request_impl(beast::verb /*verb*/, const Text methodText, const Text targetText, int /*version*/, Code &code) override
    {
        method.assign(methodText.data(), methodText.size());
        target.assign(targetText.data(), targetText.size());
        code = {};
    }

    void on_response_impl(const int statusCode, const Text /*reason*/, int /*version*/, Code &code) override
    {
        status = statusCode;
        code = {};
    }

    void on_field_impl(beast::field /*field*/, const Text name, const Text value, Code &code) override
    {
        code = {};
        if (m_hasHeader) {
            // Trailers are dropped, but the limit on header bytes holds for each.
            if (name.size() + value.size() > m_maxTrailerBytes) {
                code = beast::error::header_limit;
            }
            return;
        }
        headers.push_back({.name = {name.data(), name.size()}, .value = {value.data(), value.size()}});
    }

    void on_header_impl(Code &code) override
    {
        m_hasHeader = true;
        code = hasUnambiguousLength() ? Code{} : make_error_code(beast::error::bad_transfer_encoding);
    }

    /*!
     * @brief Checks that nothing but one `chunked`, or a length, says where the body ends.
     *
     * The parser takes a request with any other transfer coding for one without a body, and its body for the next request.
     */
    [[nodiscard]] bool hasUnambiguousLength() const
    {
        const auto isNamed = [](const std::string_view name) {
            return [name](const Header &header) {
                return isSameName(header.name, name);
            };
        };
        const auto codings = std::count_if(headers.begin(), headers.end(), isNamed("Transfer-Encoding"));
        if (codings == 0) {
            return true;
        }
        const bool hasLength = std::any_of(headers.begin(), headers.end(), isNamed("Content-Length"));
        return codings == 1 && !hasLength && isSameName(*findHeader(headers, "Transfer-Encoding"), "chunked");
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/, Code &code) override
    {
        code = {};
    }

    std::size_t on_body_impl(const Text bytes, Code &code) override
    {
        reserveFor(static_cast<qsizetype>(bytes.size()));
        body.append(bytes.data(), static_cast<qsizetype>(bytes.size()));
        code = {};
        return bytes.size();
    }

    /*! @brief Makes room in one step for a body that has become long: growing doubles it, and holds both copies meanwhile. */
    void reserveFor(const qsizetype added)
    {
        if (body.size() >= longBodyBytes && body.size() + added > body.capacity()) {
            body.reserve(std::max(std::min(m_maxBodyBytes, body.size() * longBodyGrowth), body.size() + added));
        }
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, Text /*extensions*/, Code &code) override
    {
        code = {};
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/, const Text bytes, Code &code) override
    {
        return on_body_impl(bytes, code);
    }

    void on_finish_impl(Code &code) override
    {
        code = {};
    }

    std::size_t m_maxTrailerBytes;
    qsizetype m_maxBodyBytes;
    bool m_hasHeader{};
};

[[nodiscard]] static ReadError readErrorOf(const boost::beast::error_code &code)
{
    if (code == beast::error::header_limit) {
        return ReadError::headerTooLarge;
    }
    return code == beast::error::body_limit ? ReadError::bodyTooLarge : ReadError::malformed;
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
void Reader<Message>::setLimits(const ReadLimits limits)
{
    m_limits = limits;
    if (m_state == ReadState::waiting) {
        startNext();
    }
}

template<typename Message>
void Reader<Message>::setBodiesExpected(const bool areExpected)
{
    if (areExpected == m_areBodiesExpected) {
        return;
    }
    m_areBodiesExpected = areExpected;
    startNext();
}

template<typename Message>
void Reader<Message>::release()
{
    m_parser->body.clear();
    m_unparsed.clear();
}

template<typename Message>
void Reader<Message>::advance()
{
    while (m_state != ReadState::complete && m_state != ReadState::failed && !m_unparsed.isEmpty()) {
        boost::beast::error_code code;
        const std::size_t consumed = m_parser->put(boost::asio::buffer(m_unparsed.constData(), static_cast<std::size_t>(m_unparsed.size())), code);
        m_unparsed.remove(0, static_cast<qsizetype>(consumed));
        if (code && code != beast::error::need_more) {
            fail(internal::readErrorOf(code));
            return;
        }
        if (m_parser->is_done()) {
            m_state = ReadState::complete;
            return;
        }
        m_state = m_parser->is_header_done() ? ReadState::readingBody : ReadState::readingHeader;
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
    m_parser->put_eof(code);
    const bool isComplete = !code && m_parser->is_done() && m_unparsed.isEmpty();
    m_state = isComplete ? ReadState::complete : ReadState::failed;
}

template<typename Message>
qsizetype Reader<Message>::heldBytes() const noexcept
{
    return m_parser->body.size() + m_unparsed.size();
}

template<typename Message>
bool Reader<Message>::expectsContinue() const
{
    if constexpr (isRequest) {
        const std::string *const expectation = m_state == ReadState::readingBody ? findHeader(m_parser->headers, "Expect") : nullptr;
        return expectation != nullptr && isSameName(*expectation, "100-continue");
    }
    return false;
}

template<typename Message>
Message Reader<Message>::take()
{
    Message message;
    message.keepsConnection = m_parser->keep_alive();
    message.headers = std::move(m_parser->headers);
    message.body = std::move(m_parser->body);
    if constexpr (isRequest) {
        message.method = std::move(m_parser->method);
        message.target = std::move(m_parser->target);
    } else {
        message.status = m_parser->status;
        message.keepsConnection = message.keepsConnection && !m_parser->need_eof();
    }
    startNext();
    return message;
}

template<typename Message>
void Reader<Message>::startNext()
{
    m_parser = std::make_unique<internal::ParserState<isRequest>>(m_limits);
    m_parser->skip(!m_areBodiesExpected);
    m_state = ReadState::waiting;
}

template class Reader<Request>;
template class Reader<Response>;

} // namespace egretlatch::http
