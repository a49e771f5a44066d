#ifndef EGRETLATCH_HTTP_READER_HPP
#define EGRETLATCH_HTTP_READER_HPP

#include <cstdint>
#include <memory>
#include <optional>

#include <QByteArray>

#include <egretlatch/http/message.hpp>

namespace egretlatch::http
{

/*! @brief Sizes up to which a message is read. */
struct ReadLimits
{
    /*! @brief Bytes of the start line and the header fields. */
    std::uint32_t headerBytes{16U * 1024U};
    /*! @brief Bytes of the body. */
    std::uint64_t bodyBytes{8ULL * 1024U * 1024U};

    friend bool operator==(const ReadLimits &, const ReadLimits &) = default;
};

/*! @brief Why a message cannot be read any further. */
enum class ReadError {
    /*! @brief It breaks the protocol. */
    malformed,
    headerTooLarge,
    bodyTooLarge,
};

/*! @brief How far a message has been read. */
enum class ReadState {
    /*! @brief Nothing of it has come. */
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
 * @brief Reads one message after the other from the bytes of a connection.
 *
 * Whatever follows a complete message is kept for the next one.
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
     * @brief Takes bytes and reads on until the message is complete.
     * @param bytes What came in; may be empty, to go on with what is kept.
     */
    void feed(const QByteArray &bytes);

    /**
     * @brief Keeps bytes without reading on.
     * @param bytes What came in.
     */
    void append(const QByteArray &bytes)
    {
        m_unparsed.append(bytes);
    }

    /*! @brief Takes the end of the connection, which may be the end of a message without a length. */
    void finish();

    [[nodiscard]] ReadState state() const noexcept
    {
        return m_state;
    }

    [[nodiscard]] ReadError error() const noexcept
    {
        return m_error;
    }

    /*! @brief Whether bytes are kept that belong to no message taken so far. */
    [[nodiscard]] bool hasUnparsed() const noexcept
    {
        return !m_unparsed.isEmpty();
    }

    /*! @brief Bytes that are kept. */
    [[nodiscard]] qsizetype unparsedBytes() const noexcept
    {
        return m_unparsed.size();
    }

    /*! @brief Whether the header that has been read asks to be told to go on before the body is sent. */
    [[nodiscard]] bool expectsContinue() const;

    /**
     * @brief Takes the complete message; the next one is then waited for.
     * @return The message; only to be called in state `complete`.
     */
    [[nodiscard]] Message take();

private:
    static constexpr bool isRequest = std::is_same_v<Message, Request>;

    void advance();
    void startNext();

    ReadLimits m_limits;
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
