#ifndef STANDIN_LOAD_RUN_KIND_HPP
#define STANDIN_LOAD_RUN_KIND_HPP

#include <chrono>
#include <string>

namespace standin::load
{

/*! @brief A request kind of a run, with what its manifest declares of it. */
struct RunKind
{
    /*! @brief `service/kind`. */
    std::string name;
    double worth{};
    bool idempotent{};
    /*! @brief Time that an attempt has. */
    std::chrono::milliseconds timeout{};

    friend bool operator==(const RunKind &, const RunKind &) = default;
};

} // namespace standin::load

#endif
