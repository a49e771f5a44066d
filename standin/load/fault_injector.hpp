#ifndef STANDIN_LOAD_FAULT_INJECTOR_HPP
#define STANDIN_LOAD_FAULT_INJECTOR_HPP

#include <vector>

#include <boost/asio/io_context.hpp>

#include <egretlatch/core/clock.hpp>

#include <load/connection_pool.hpp>
#include <load/mesh.hpp>
#include <load/scenario.hpp>

namespace standin::load
{

/*! @brief Posts the declared behaviours to backend servers and to the platform at their scheduled times; runs on its own thread. */
class FaultInjector
{
public:
    /**
     * @brief Constructs an injector.
     * @param mesh Addresses of the deployment; must outlive the injector.
     * @param steps All fault steps; steps with an action other than `control` are ignored.
     * @param start Start of the run, from which the times of the steps count.
     */
    FaultInjector(const Mesh &mesh, std::vector<FaultStep> steps, egretlatch::SteadyTime start);

    /*! @brief Executes each step at its time and returns after the last one; blocks the calling thread. */
    void run();

private:
    void apply(const FaultStep &step);
    void post(const std::string &url, const QByteArray &behaviour);

    const Mesh &m_mesh;
    std::vector<FaultStep> m_steps;
    egretlatch::SteadyTime m_start;
    boost::asio::io_context m_context;
};

} // namespace standin::load

#endif
