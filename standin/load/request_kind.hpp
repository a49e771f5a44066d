#ifndef STANDIN_LOAD_REQUEST_KIND_HPP
#define STANDIN_LOAD_REQUEST_KIND_HPP

#include <chrono>
#include <string>

namespace standin::load
{

/*! @brief Request kind of a run, with its properties from the manifest. */
struct RequestKind
{
    /*! @brief Name in the form `service/kind`. */
    std::string name;
    /*! @brief Weight of a completed request in the weighted goodput. */
    double worth{};
    bool idempotent{};
    /*! @brief Timeout of an attempt. */
    std::chrono::milliseconds timeout{};

    friend bool operator==(const RequestKind &, const RequestKind &) = default;
};

} // namespace standin::load

#endif
