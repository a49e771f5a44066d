#ifndef EGRETLATCH_HTTP_READER_HPP
#define EGRETLATCH_HTTP_READER_HPP

#include <cstdint>
#include <memory>
#include <optional>

#include <QByteArray>

#include <egretlatch/http/message.hpp>

namespace egretlatch::http
{

/*! @brief Size limits of a message. */
struct ReadLimits
{
    /*! @brief Maximum bytes of the start line and the header fields; also of a chunk header, and of the trailers. */
    std::uint32_t headerBytes{16U * 1024U};
    /*! @brief Maximum bytes of the body. */
    std::uint64_t bodyBytes{8ULL * 1024U * 1024U};

    friend bool operator==(const ReadLimits &, const ReadLimits &) = default;
};

/*! @brief Reason why a message cannot be parsed. */
enum class ReadError {
    /*! @brief The message violates the protocol. */
    malformed,
    headerTooLarge,
    bodyTooLarge,
};

/*! @brief Parsing state of a message. */
enum class ReadState {
    /*! @brief No byte of the message has been parsed. */
    waiting,
    readingHeader,
    readingBody,
    complete,
    failed,
};

namespace internal
{

template<bool isRequest>
class ParserState;

} // namespace internal

/**
 * @brief Parses consecutive messages from the bytes of a connection.
 *
 * Bytes that follow a complete message are buffered for the next one.
 */
template<typename Message>
class Reader
{
public:
    explicit Reader(ReadLimits limits);
    Reader(const Reader &) = delete;
    Reader &operator=(const Reader &) = delete;
    ~Reader();

    /**
     * @brief Buffers bytes and parses until the message is complete.
     * @param bytes Received bytes; may be empty to continue with the buffered ones.
     */
    void feed(const QByteArray &bytes);

    /**
     * @brief Buffers bytes without parsing them.
     * @param bytes Received bytes.
     */
    void append(const QByteArray &bytes)
    {
        m_unparsed.append(bytes);
    }

    /**
     * @brief Sets the limits from the next message on, or from the present one if nothing of it has been parsed.
     * @param limits The limits.
     */
    void setLimits(ReadLimits limits);

    /**
     * @brief Sets whether messages have the body that their header announces; not so the answers to HEAD requests.
     * @param areExpected False if each message ends with its header; call it between two messages only.
     */
    void setBodiesExpected(bool areExpected);

    /*! @brief Frees the memory of all bytes received; the reader must not be used afterwards but for its state. */
    void release();

    /*! @brief Processes the end of the connection, which may end a message without a length. */
    void finish();

    [[nodiscard]] ReadState state() const noexcept
    {
        return m_state;
    }

    [[nodiscard]] ReadError error() const noexcept
    {
        return m_error;
    }

    /*! @brief Checks whether unparsed bytes are buffered. */
    [[nodiscard]] bool hasUnparsed() const noexcept
    {
        return !m_unparsed.isEmpty();
    }

    /*! @brief Returns the number of unparsed bytes. */
    [[nodiscard]] qsizetype unparsedBytes() const noexcept
    {
        return m_unparsed.size();
    }

    /*! @brief Returns the number of bytes that the incomplete message takes, with those that are not parsed yet. */
    [[nodiscard]] qsizetype heldBytes() const noexcept;

    /*! @brief Checks whether the parsed header expects `100 Continue` before the body is sent. */
    [[nodiscard]] bool expectsContinue() const;

    /**
     * @brief Returns the complete message and resets the parser for the next one; call it only in state `complete`.
     * @return The message.
     */
    [[nodiscard]] Message take();

private:
    static constexpr bool isRequest = std::is_same_v<Message, Request>;

    void advance();
    void fail(ReadError error);
    void startNext();

    ReadLimits m_limits;
    bool m_areBodiesExpected{true};
    std::unique_ptr<internal::ParserState<isRequest>> m_parser;
    QByteArray m_unparsed;
    ReadState m_state{ReadState::waiting};
    ReadError m_error{ReadError::malformed};
};

extern template class Reader<Request>;
extern template class Reader<Response>;

using RequestReader = Reader<Request>;
using ResponseReader = Reader<Response>;

} // namespace egretlatch::http

#endif
