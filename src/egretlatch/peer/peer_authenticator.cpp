#include <egretlatch/peer/peer_authenticator.hpp>

#include <array>

namespace egretlatch::peer
{

namespace internal
{

// ZeroMQ RFC 27 (ZAP) gives the frames of a request and of its answer, in order. Positions are those in a request; sizes are of
// a key in bytes and of its Z85 text with the terminator.
constexpr std::size_t requestIdFrame = 1;
constexpr std::size_t mechanismFrame = 5;
constexpr std::size_t keyFrame = 6;
constexpr std::size_t keySize = 32;
constexpr std::size_t keyTextSize = 41;

[[nodiscard]] static std::string toZ85(const std::string &key)
{
    std::array<char, keyTextSize> text{};
    if (key.size() != keySize || zmq_z85_encode(text.data(), reinterpret_cast<const std::uint8_t *>(key.data()), key.size()) == nullptr) {
        return {};
    }
    return text.data();
}

} // namespace internal

PeerAuthenticator::PeerAuthenticator(zmq::context_t &context, const std::vector<std::string> &acceptedKeys, account::MetricsSink &metrics)
    : m_acceptedKeys{acceptedKeys.begin(), acceptedKeys.end()}
    , m_metrics{metrics}
    , m_socket{context, zmq::socket_type::rep}
{
    m_socket.set(zmq::sockopt::linger, 0);
    m_socket.bind("inproc://zeromq.zap.01");
    m_thread = std::thread{[this] {
        run();
    }};
}

PeerAuthenticator::~PeerAuthenticator()
{
    m_thread.join();
}

void PeerAuthenticator::run()
{
    try {
        while (answerNextRequest()) { }
    } catch (const zmq::error_t &) {
        // The context was shut down.
    }
    m_socket.close();
}

bool PeerAuthenticator::answerNextRequest()
{
    std::vector<std::string> frames;
    bool hasMore = true;
    while (hasMore) {
        zmq::message_t frame;
        if (!m_socket.recv(frame).has_value()) {
            return false;
        }
        frames.push_back(frame.to_string());
        hasMore = frame.more();
    }
    const bool isComplete = frames.size() > internal::keyFrame;
    const bool isAccepted = isComplete && frames[internal::mechanismFrame] == "CURVE" && m_acceptedKeys.contains(internal::toZ85(frames[internal::keyFrame]));
    if (!isAccepted) {
        m_metrics.count("connections_refused", "unknown-key");
    }
    const std::string requestId = isComplete ? frames[internal::requestIdFrame] : std::string{};
    const std::array<std::string, 6> answer{"1.0", requestId, isAccepted ? "200" : "400", isAccepted ? "" : "unknown key", "", ""};
    for (std::size_t index = 0; index < answer.size(); ++index) {
        const bool isLast = index + 1 == answer.size();
        m_socket.send(zmq::buffer(answer[index]), isLast ? zmq::send_flags::none : zmq::send_flags::sndmore);
    }
    return true;
}

} // namespace egretlatch::peer
