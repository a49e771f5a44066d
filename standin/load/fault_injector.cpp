#include <load/fault_injector.hpp>

#include <algorithm>
#include <thread>

#include <fmt/format.h>

namespace standin::load
{

namespace internal
{

constexpr std::chrono::seconds controlTimeout{2};
constexpr unsigned controlHttpVersion = 11;
constexpr int minControlErrorStatus = 300;

} // namespace internal

FaultInjector::FaultInjector(const Mesh &mesh, std::vector<FaultStep> steps, const egretlatch::SteadyTime start)
    : m_mesh{mesh}
    , m_steps{std::move(steps)}
    , m_start{start}
    , m_context{1}
{
    std::erase_if(m_steps, [](const FaultStep &step) {
        return step.action != FaultAction::control;
    });
    std::stable_sort(m_steps.begin(), m_steps.end(), [](const FaultStep &left, const FaultStep &right) {
        return left.at < right.at;
    });
}

void FaultInjector::run()
{
    for (const FaultStep &step : m_steps) {
        std::this_thread::sleep_until(m_start + step.at);
        apply(step);
    }
}

void FaultInjector::apply(const FaultStep &step)
{
    const auto found = m_mesh.controls.find(step.service);
    if (found == m_mesh.controls.end()) {
        fmt::print(stderr, "load: cannot inject a fault: the deployment has no service {}\n", step.service);
        return;
    }
    const std::vector<std::string> &urls = found->second;
    for (int server = 0; server < std::ssize(urls); ++server) {
        if (step.server < 0 || step.server == server) {
            post(urls[static_cast<std::size_t>(server)], step.behaviour);
        }
    }
}

void FaultInjector::post(const std::string &url, const QByteArray &behaviour)
{
    ConnectionPool pool{m_context, url};
    HttpRequest request{boost::beast::http::verb::post, "/control", internal::controlHttpVersion};
    request.set(boost::beast::http::field::host, pool.authority());
    request.body() = behaviour.toStdString();
    request.prepare_payload();
    pool.exchange(std::move(request), internal::controlTimeout, [&url](const HttpReply &reply) {
        if (reply.transport != TransportResult::answered || reply.status >= internal::minControlErrorStatus) {
            fmt::print(stderr, "load: POST /control to {} failed: status {}, body {}\n", url, reply.status, reply.body);
        }
    });
    m_context.restart();
    m_context.run();
}

} // namespace standin::load
