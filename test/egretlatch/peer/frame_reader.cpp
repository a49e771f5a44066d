#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <egretlatch/peer/frame_reader.hpp>

using namespace egretlatch;

TEST_CASE("messages are read complete and in order, however their bytes are split")
{
    CHECK(rc::check("any messages, split at any positions", [](const std::vector<std::string> &messages, const std::vector<std::uint8_t> &cuts) {
        QByteArray stream;
        for (const std::string &message : messages) {
            stream += peer::encodeFrame(message);
        }
        peer::FrameReader reader;
        std::vector<std::string> found;
        const auto take = [&reader, &found] {
            while (const std::optional<QByteArray> message = reader.next()) {
                found.push_back(message->toStdString());
            }
        };
        for (const std::uint8_t cut : cuts) {
            reader.add(stream.left(cut));
            stream.remove(0, cut);
            take();
        }
        reader.add(stream);
        take();
        RC_ASSERT(found == messages);
        RC_ASSERT(!reader.isMalformed());
    }));
}

TEST_CASE("long messages are read complete and in order among short ones, however their bytes are split")
{
    const QByteArray longMessage(3 * longBodyBytes + 1, 'l');
    const MessageBytes inTwoPieces{.head = "head", .body = QByteArray(longBodyBytes, 'b')};
    QByteArray stream = peer::encodeFrame("first") + peer::encodeFrame(longMessage.toStdString()) + peer::encodeSplitFrame(inTwoPieces).joined()
        + peer::encodeFrame(std::string_view{}) + peer::encodeFrame("last");
    for (const qsizetype cut : {qsizetype{1}, qsizetype{7}, qsizetype{1000}, longBodyBytes, stream.size()}) {
        peer::FrameReader reader;
        std::vector<QByteArray> found;
        for (qsizetype begin = 0; begin < stream.size(); begin += cut) {
            reader.add(stream.mid(begin, cut));
            while (std::optional<QByteArray> message = reader.next()) {
                found.push_back(std::move(*message));
            }
        }
        CHECK(found == std::vector<QByteArray>{"first", longMessage, inTwoPieces.joined(), "", "last"});
    }
}

TEST_CASE("a length above the limit ends the reading")
{
    // The first bytes of another kind of client, such as an HTTP client, decode as a length of a gigabyte. Waiting for that
    // much data would buffer it until the process is killed.
    peer::FrameReader reader;
    reader.add("GET / HTTP/1.1\r\n");
    CHECK(!reader.next().has_value());
    CHECK(reader.isMalformed());
    reader.add(peer::encodeFrame("x"));
    CHECK(!reader.next().has_value());
}
