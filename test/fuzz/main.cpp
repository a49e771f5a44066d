// Feeds all that reads bytes from outside with mutated inputs. A crash, an exception or a sanitizer's report ends it; the last line
// names the target and the seed.

#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include <fmt/format.h>

#include <egretlatch/http/reader.hpp>
#include <egretlatch/manifest/manifest.hpp>
#include <egretlatch/platform/bounds.hpp>
#include <egretlatch/platform/caller_wire.hpp>
#include <egretlatch/platform/configuration_document.hpp>
#include <egretlatch/platform/server_report.hpp>
#include <egretlatch/platform/server_wire.hpp>
#include <egretlatch/platform/store_wire.hpp>
#include <egretlatch/protocol/codec.hpp>
#include <egretlatch/settings/sidecar_settings.hpp>

#include "mutator.hpp"

namespace
{

using namespace egretlatch;

using Target = std::function<void(const std::string &input, fuzz::Mutator &mutator)>;

constexpr http::ReadLimits limits{.headerBytes = 131'072, .bodyBytes = 4096};

// Feeds the bytes in pieces and takes each complete message, as a connection does.
template<typename Reader, typename Handler>
void feed(const std::string &input, fuzz::Mutator &mutator, const Handler &handle)
{
    Reader reader{limits};
    std::size_t place = 0;
    while (place < input.size() && reader.state() != http::ReadState::failed) {
        const std::size_t piece = 1 + mutator.below(input.size());
        reader.feed(QByteArray::fromStdString(input.substr(place, piece)));
        place += piece;
        while (reader.state() == http::ReadState::complete) {
            handle(reader.take());
            reader.feed({});
        }
    }
    reader.finish();
}

void readRequest(const std::string &input, fuzz::Mutator &mutator)
{
    feed<http::RequestReader>(input, mutator, [](const http::Request &request) {
        static_cast<void>(platform::readCaller(request));
        static_cast<void>(platform::readApiKey(request.headers));
        static_cast<void>(platform::headersForServer(request.headers, "own", true));
        static_cast<void>(http::encode(request));
    });
}

void readAnswer(const std::string &input, fuzz::Mutator &mutator)
{
    feed<http::ResponseReader>(input, mutator, [](const http::Response &answer) {
        static_cast<void>(platform::readRun(answer));
        static_cast<void>(platform::pairAnswer(answer, "1"));
        static_cast<void>(http::encode(answer));
    });
}

void readReport(const std::string &input, fuzz::Mutator &mutator)
{
    http::Request request;
    request.method = "POST";
    request.target = mutator.below(4) == 0 ? input.substr(0, 200) : "/api/instances/i-1/heartbeat";
    request.body = QByteArray::fromStdString(input);
    static_cast<void>(platform::readServerReport(request));
}

void readConfiguration(const std::string &input, fuzz::Mutator & /*mutator*/)
{
    const auto accepted = platform::readConfiguration(QByteArray::fromStdString(input), 0.2);
    if (accepted.has_value()) {
        static_cast<void>(manifest::parseManifest(accepted->manifest));
    }
    static_cast<void>(manifest::parseManifest(QByteArray::fromStdString(input)));
}

void readPage(const std::string &input, fuzz::Mutator & /*mutator*/)
{
    http::Response answer;
    answer.status = 200;
    answer.body = QByteArray::fromStdString(input);
    static_cast<void>(platform::readConfigurationPage(answer));
    static_cast<void>(platform::readStoreAnswer(store::TableScan{.prefix = "contact/", .after = {}, .limit = 16}, answer));
    static_cast<void>(platform::readStoreAnswer(store::TableWrite{}, answer));
}

void readSettings(const std::string &input, fuzz::Mutator & /*mutator*/)
{
    const auto settings = settings::parseSidecarSettings(QByteArray::fromStdString(input));
    if (settings.has_value()) {
        static_cast<void>(platform::readBounds(settings->boundEntries));
    }
}

void readMessage(const std::string &input, fuzz::Mutator & /*mutator*/)
{
    const auto envelope = protocol::decodeShared(QByteArray::fromStdString(input));
    if (envelope.has_value()) {
        static_cast<void>(protocol::encode(*envelope));
    }
}

const std::map<std::string, Target> targets{
    {"request", readRequest},
    {"answer", readAnswer},
    {"report", readReport},
    {"configuration", readConfiguration},
    {"page", readPage},
    {"settings", readSettings},
    {"message", readMessage},
};

[[nodiscard]] std::vector<std::string> readCorpus(const std::filesystem::path &folder)
{
    std::vector<std::string> corpus;
    if (std::filesystem::is_directory(folder)) {
        for (const auto &entry : std::filesystem::directory_iterator{folder}) {
            std::ifstream file{entry.path(), std::ios::binary};
            corpus.emplace_back(std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{});
        }
        std::sort(corpus.begin(), corpus.end());
    }
    return corpus;
}

// Messages between daemons are binary, so their corpus is made here.
[[nodiscard]] std::vector<std::string> makeMessages()
{
    SeededRandom random{3};
    protocol::CallRequest request;
    request.root = UuidGenerator{random}.generate({});
    request.service = "service";
    request.headers = {{.name = "X", .value = "y"}};
    protocol::CallAnswer answer;
    answer.status = 200;
    answer.body = "body";
    membership::Member member;
    member.id = {"daemon"};
    protocol::Gossip gossip;
    gossip.members = {member};
    const std::vector<protocol::Message> messages{
        request,
        answer,
        gossip,
        configuration::Advert{
            .version = 3, .hash = "h", .endpoint = "tcp://127.0.0.1:1", .confirmedAge = std::chrono::milliseconds{1}, .provenAt = store::StoreTime{}},
        quota::UseReport{.sequence = 1, .uses = {{.account = "a", .used = -1, .asked = 2, .returned = 3}}},
        quota::GrantReply{.sequence = 1, .grants = {{.account = "a", .credit = 1, .allowance = 2, .isShort = true, .roomIn = std::chrono::milliseconds{3}}}},
    };
    std::vector<std::string> corpus;
    corpus.reserve(messages.size());
    for (const protocol::Message &message : messages) {
        corpus.push_back(protocol::encode({.sender = {"daemon"}, .incarnation = {1}, .message = message}));
    }
    return corpus;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app{"Feeds the readers of outside bytes with mutated inputs."};
    std::string corpusFolder;
    std::uint64_t seed = 1;
    int inputs = 2000;
    int seconds = 0;
    app.add_option("--corpus", corpusFolder, "Folder with one folder of inputs a target")->required();
    app.add_option("--seed", seed, "First seed");
    app.add_option("--inputs", inputs, "Inputs a target and seed");
    app.add_option("--seconds", seconds, "Goes on with further seeds for this time; 0 for one seed");
    CLI11_PARSE(app, argc, argv);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{seconds};
    std::uint64_t total = 0;
    do {
        for (const auto &[name, target] : targets) {
            fmt::print("{} seed {}\n", name, seed);
            std::fflush(stdout);
            const std::vector<std::string> corpus = name == "message" ? makeMessages() : readCorpus(std::filesystem::path{corpusFolder} / name);
            if (corpus.empty()) {
                fmt::print("no corpus for {}\n", name);
                return 2;
            }
            fuzz::Mutator mutator{corpus, seed};
            for (int number = 0; number < inputs; ++number) {
                target(mutator.next(), mutator);
                ++total;
            }
        }
        ++seed;
    } while (std::chrono::steady_clock::now() < end);
    fmt::print("{} inputs, none ended the process\n", total);
    return 0;
}
