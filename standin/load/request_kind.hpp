#ifndef STANDIN_LOAD_REQUEST_KIND_HPP
#define STANDIN_LOAD_REQUEST_KIND_HPP

#include <chrono>
#include <string>

namespace standin::load
{

/*! @brief A request kind of a run, with what its manifest declares of it. */
struct RequestKind
{
    /*! @brief `service/kind`. */
    std::string name;
    double worth{};
    bool idempotent{};
    /*! @brief Time that an attempt has. */
    std::chrono::milliseconds timeout{};

    friend bool operator==(const RequestKind &, const RequestKind &) = default;
};

} // namespace standin::load

#endif
