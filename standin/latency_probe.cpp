#include <latency_probe.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <mutex>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fmt/format.h>

namespace standin
{

namespace internal
{

using Clock = std::chrono::steady_clock;

constexpr std::size_t bufferSize = 16384;
constexpr std::chrono::milliseconds startDelay{100};

/*! @brief Latencies and failures of all connections. */
struct Samples
{
    std::mutex mutex;
    std::vector<double> milliseconds;
    int failures{};
};

[[nodiscard]] static int openConnection(const std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

[[nodiscard]] static bool isComplete(const std::string &answer)
{
    static const std::string lengthName = "Content-Length: ";
    const std::size_t headEnd = answer.find("\r\n\r\n");
    const std::size_t lengthStart = answer.find(lengthName);
    if (headEnd == std::string::npos || lengthStart == std::string::npos) {
        return false;
    }
    const std::size_t length = std::strtoul(answer.c_str() + lengthStart + lengthName.size(), nullptr, 10);
    return answer.size() >= headEnd + 4 + length;
}

[[nodiscard]] static bool exchange(const int descriptor, const std::string &request)
{
    if (send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) < 0) {
        return false;
    }
    std::string answer;
    std::vector<char> buffer(bufferSize);
    while (!isComplete(answer)) {
        const ssize_t received = recv(descriptor, buffer.data(), buffer.size(), 0);
        if (received <= 0) {
            return false;
        }
        answer.append(buffer.data(), static_cast<std::size_t>(received));
    }
    return answer.find(" 200 ") != std::string::npos;
}

static void runConnection(const ProbeOptions &options, const int connection, const Clock::time_point start, Samples &samples)
{
    std::string request = fmt::format("GET {} HTTP/1.1\r\nHost: localhost\r\n", options.path);
    if (!options.kind.empty()) {
        request += fmt::format("Egretlatch-Kind: {}\r\n", options.kind);
    }
    request += "\r\n";
    const int descriptor = openConnection(options.port);
    const int count = options.rate * options.seconds / options.connections;
    std::vector<double> milliseconds;
    int failures = 0;
    for (int index = 0; index < count; ++index) {
        const double offsetSeconds = static_cast<double>(index * options.connections + connection) / options.rate;
        const auto due = start + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>{offsetSeconds});
        std::this_thread::sleep_until(due);
        failures += exchange(descriptor, request) ? 0 : 1;
        milliseconds.push_back(std::chrono::duration<double, std::milli>{Clock::now() - due}.count());
    }
    close(descriptor);
    const std::lock_guard lock{samples.mutex};
    samples.milliseconds.insert(samples.milliseconds.end(), milliseconds.begin(), milliseconds.end());
    samples.failures += failures;
}

[[nodiscard]] static double quantile(const std::vector<double> &sorted, const double fraction)
{
    return sorted.empty() ? 0.0 : sorted[static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1))];
}

} // namespace internal

int runProbe(const ProbeOptions &options)
{
    internal::Samples samples;
    const auto start = internal::Clock::now() + internal::startDelay;
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(options.connections));
    for (int connection = 0; connection < options.connections; ++connection) {
        threads.emplace_back([&options, connection, start, &samples] {
            internal::runConnection(options, connection, start, samples);
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::sort(samples.milliseconds.begin(), samples.milliseconds.end());
    fmt::print(R"({{"sent": {}, "bad": {}, "p50Ms": {:.3f}, "p99Ms": {:.3f}, "p999Ms": {:.3f}}})"
               "\n",
               samples.milliseconds.size(),
               samples.failures,
               internal::quantile(samples.milliseconds, 0.5),
               internal::quantile(samples.milliseconds, 0.99),
               internal::quantile(samples.milliseconds, 0.999));
    return samples.failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace standin
