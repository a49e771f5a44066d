#include <golden/session.hpp>

#include <cstdlib>

#include <doctest/doctest.h>

#include <QFile>
#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>

#include <egretlatch/daemon/http_headers.hpp>
#include <egretlatch/daemon/problem_document.hpp>

namespace golden
{

namespace internal
{

using namespace egretlatch;

constexpr char entryName[] = "entry";
constexpr int slots = 1;
constexpr int connections = 10;
constexpr std::chrono::milliseconds settleTime{3000};
constexpr std::chrono::milliseconds tickTime{10};

[[nodiscard]] static std::shared_ptr<const manifest::Manifest> launchLogManifest()
{
    manifest::KindSpec entry;
    entry.name = "launch-entry";
    entry.priority = 9;
    entry.worth = 10;
    entry.idempotent = false;
    entry.deadline = std::chrono::milliseconds{500};
    manifest::KindSpec lookup;
    lookup.name = "lookup";
    lookup.priority = 4;
    lookup.worth = 1;
    lookup.deadline = std::chrono::milliseconds{500};
    manifest::ServiceSpec launchLog;
    launchLog.name = "launch-log";
    launchLog.slots = slots;
    launchLog.connections = connections;
    launchLog.kinds = {entry, lookup};
    manifest::ServiceSpec archive = launchLog;
    archive.name = "logbook-archive";
    return manifest::ManifestBuilder{}.addService(launchLog).addService(archive).setHash("0123456789abcdef").build();
}

} // namespace internal

Session::Node::Node(const std::uint64_t seed)
    : random{seed}
{
}

Session::Session(const std::string &summary)
    : m_start{m_clock.steadyNow()}
    , m_text{fmt::format("# {}\n", summary)}
{
    addNode(internal::entryName, 100);
    addNode("left", 200);
    addNode("right", 300);
    for (const char *const name : {"left", "right"}) {
        handle(
            name,
            egretlatch::decision::ServerAnnounced{.service = "launch-log", .slots = internal::slots, .connections = internal::connections, .instance = name});
    }
    wait(internal::settleTime);
    m_start = m_clock.steadyNow();
}

void Session::addNode(const std::string &name, const std::uint64_t incarnation)
{
    auto node = std::make_unique<Node>(incarnation);
    egretlatch::membership::Member self;
    self.id = {name};
    self.incarnation = {incarnation};
    self.endpoint = name;
    egretlatch::decision::CoreBuilder builder{m_clock, node->random, m_metrics};
    builder.setSelf(self);
    for (const auto &[other, unused] : m_nodes) {
        builder.addContact({.id = {other}, .endpoint = other});
    }
    node->core = builder.build();
    m_nodes.emplace(name, std::move(node));
    m_incarnations[name] = incarnation;
    handle(name, egretlatch::decision::ManifestChanged{.version = 7, .manifest = internal::launchLogManifest()});
}

std::string Session::mintKey(const std::string &kind)
{
    writeTimestamp("a caller");
    m_text += fmt::format("> POST /keys/launch-log/{}\n", kind);
    m_callers[++m_lastExchange] = "a caller";
    handle(internal::entryName, egretlatch::decision::KeyRequested{.exchange = {m_lastExchange}, .service = "launch-log", .kind = kind});
    return QJsonDocument::fromJson(QByteArray::fromStdString(m_lastBody)).object()[u"key"].toString().toStdString();
}

void Session::call(const std::string &caller, const std::string &target, const std::string &key, const std::string &body)
{
    writeTimestamp(caller);
    m_text += fmt::format("> POST /call/{}/\n", target);
    if (!key.empty()) {
        writeHeaders(">", {{.name = egretlatch::daemon::keyHeader, .value = key}});
    }
    m_text += fmt::format(">\n> {}\n", body);
    egretlatch::decision::CallerCall call;
    call.service = target.substr(0, target.find('/'));
    call.kind = target.substr(target.find('/') + 1);
    call.method = "POST";
    call.path = "/";
    call.body = QByteArray::fromStdString(body);
    call.key = key;
    m_callers[++m_lastExchange] = caller;
    handle(internal::entryName, egretlatch::decision::CallArrived{.exchange = {m_lastExchange}, .call = call});
}

void Session::closeConnection(const std::string &caller)
{
    writeTimestamp(caller);
    m_text += "> closes the connection\n";
    for (const auto &[exchange, name] : std::map{m_callers}) {
        if (name == caller) {
            m_callers.erase(exchange);
            handle(internal::entryName, egretlatch::decision::CallerGone{.exchange = {exchange}});
        }
    }
}

void Session::endOldestRun(const std::variant<egretlatch::decision::RunAnswer, egretlatch::decision::RunFailure> &result)
{
    REQUIRE_FALSE(m_runs.empty());
    const Run run = m_runs.front();
    m_runs.pop_front();
    handle(run.daemon, egretlatch::decision::RunEnded{.execution = run.start.execution, .result = result});
}

void Session::answerOldestRun(const int status, const std::string &body)
{
    endOldestRun(egretlatch::decision::RunAnswer{
        .status = status,
        .headers = {{.name = "Content-Type", .value = "application/json"}},
        .body = QByteArray::fromStdString(body),
    });
}

void Session::drainServers()
{
    for (const char *const name : {"left", "right"}) {
        handle(name, egretlatch::decision::ServerDraining{});
    }
}

void Session::wait(const std::chrono::milliseconds span)
{
    for (std::chrono::milliseconds passed{}; passed < span; passed += internal::tickTime) {
        m_clock.advance(internal::tickTime);
        for (const auto &[name, node] : m_nodes) {
            handle(name, egretlatch::decision::Tick{});
        }
    }
}

void Session::handle(const std::string &daemon, const egretlatch::decision::Event &event)
{
    m_eventQueue.push_back({.to = daemon, .event = event});
    deliver();
}

void Session::deliver()
{
    while (!m_eventQueue.empty()) {
        const QueuedEvent queued = std::move(m_eventQueue.front());
        m_eventQueue.pop_front();
        const auto node = m_nodes.find(queued.to);
        if (node == m_nodes.end()) {
            continue;
        }
        for (const egretlatch::decision::Action &action : node->second->core->handle(queued.event)) {
            execute(queued.to, action);
        }
    }
}

void Session::execute(const std::string &daemon, const egretlatch::decision::Action &action)
{
    if (const auto *const send = std::get_if<egretlatch::decision::SendToPeer>(&action)) {
        const egretlatch::protocol::Envelope envelope{.sender = {daemon}, .incarnation = {m_incarnations[daemon]}, .message = send->message};
        m_eventQueue.push_back({.to = send->to.value, .event = egretlatch::decision::PeerMessage{.envelope = envelope}});
    } else if (const auto *const start = std::get_if<egretlatch::decision::StartRun>(&action)) {
        m_runs.push_back({.daemon = daemon, .start = *start});
    } else if (const auto *const abort = std::get_if<egretlatch::decision::AbortRun>(&action)) {
        std::erase_if(m_runs, [&](const Run &run) {
            return run.daemon == daemon && run.start.execution == abort->execution;
        });
    } else if (const auto *const answer = std::get_if<egretlatch::decision::AnswerCaller>(&action)) {
        writeAnswer(*answer);
    }
}

void Session::writeAnswer(const egretlatch::decision::AnswerCaller &answer)
{
    const auto caller = m_callers.find(answer.exchange.value);
    if (caller == m_callers.end()) {
        return;
    }
    writeTimestamp(caller->second);
    m_callers.erase(caller);
    const egretlatch::decision::CallerAnswer &callerAnswer = answer.answer;
    m_nextKey = callerAnswer.nextKey;
    m_text += fmt::format("< HTTP/1.1 {}\n", callerAnswer.status);
    if (callerAnswer.verdict == egretlatch::Verdict::completed) {
        egretlatch::Headers headers = callerAnswer.headers;
        headers.push_back({.name = egretlatch::daemon::verdictHeader, .value = std::string{toString(callerAnswer.verdict)}});
        writeHeaders("<", headers);
        m_lastBody = callerAnswer.body.toStdString();
        m_text += fmt::format("<\n< {}\n", m_lastBody);
        return;
    }
    writeHeaders("<", egretlatch::daemon::problemHeaders(callerAnswer));
    m_text += fmt::format("<\n< {}\n", egretlatch::daemon::problemBody(callerAnswer).toStdString());
}

void Session::writeTimestamp(const std::string &who)
{
    const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.steadyNow() - m_start);
    m_text += fmt::format("\n{} ms, {}\n", passed.count(), who);
}

void Session::writeHeaders(const char *const prefix, const egretlatch::Headers &headers)
{
    for (const egretlatch::Header &header : headers) {
        m_text += fmt::format("{} {}: {}\n", prefix, header.name, header.value);
    }
}

void checkGolden(const std::string &name, const std::string &text)
{
    QFile file{QString::fromStdString(fmt::format("{}/test/golden/{}.txt", EGRETLATCH_SOURCE_FOLDER, name))};
    if (std::getenv("EGRETLATCH_WRITE_GOLDEN") != nullptr) {
        REQUIRE(file.open(QIODevice::WriteOnly));
        file.write(QByteArray::fromStdString(text));
        return;
    }
    REQUIRE(file.open(QIODevice::ReadOnly));
    CHECK(file.readAll().toStdString() == text);
}

} // namespace golden
