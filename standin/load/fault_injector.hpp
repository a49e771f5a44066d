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

/*! @brief Posts behaviours to backend servers at their times; runs on a thread of its own. */
class FaultInjector
{
public:
    /**
     * @brief Builds the injector.
     * @param mesh Addresses of the backend servers; must outlive the injector.
     * @param steps All steps; those that are not for `/control` are passed over.
     * @param start Start of the run.
     */
    FaultInjector(const Mesh &mesh, std::vector<FaultStep> steps, egretlatch::SteadyTime start);

    /*! @brief Takes each step at its time and returns after the last. */
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
