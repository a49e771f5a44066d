#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <egretlatch/peer/frame_reader.hpp>

using namespace egretlatch;

TEST_CASE("messages come out whole and in order, however their bytes were cut")
{
    rc::check("any messages, any cuts", [](const std::vector<std::string> &messages, const std::vector<std::uint8_t> &cuts) {
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
    });
}

TEST_CASE("a length that no message has ends the reading")
{
    // Something else than a daemon connects, an HTTP client perhaps: its first bytes read as a length of a gigabyte, and
    // waiting for so many would hold memory until the process is killed.
    peer::FrameReader reader;
    reader.add("GET / HTTP/1.1\r\n");
    CHECK(!reader.next().has_value());
    CHECK(reader.isMalformed());
    reader.add(peer::encodeFrame("x"));
    CHECK(!reader.next().has_value());
}
