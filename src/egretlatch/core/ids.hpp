#ifndef EGRETLATCH_CORE_IDS_HPP
#define EGRETLATCH_CORE_IDS_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace egretlatch
{

/*! @brief Name of a daemon from its settings; unique in the fleet. */
struct DaemonId
{
    std::string value;

    friend auto operator<=>(const DaemonId &, const DaemonId &) = default;
};

/*! @brief Incarnation number of a daemon; higher after each restart. */
struct Incarnation
{
    std::uint64_t value{};

    friend auto operator<=>(const Incarnation &, const Incarnation &) = default;
};

/*! @brief Identifier of one attempt of a call; unique within one incarnation of the daemon that sent it. */
struct CallId
{
    std::uint64_t value{};

    friend auto operator<=>(const CallId &, const CallId &) = default;
};

/*! @brief Identifier of a request-response exchange with a caller; unique within one run of the thread that serves callers. */
struct ExchangeId
{
    std::uint64_t value{};

    friend auto operator<=>(const ExchangeId &, const ExchangeId &) = default;
};

/*! @brief Identifier of an execution on the backend server; unique within one incarnation of its daemon. */
struct ExecutionId
{
    std::uint64_t value{};

    friend auto operator<=>(const ExecutionId &, const ExecutionId &) = default;
};

} // namespace egretlatch

template<>
struct std::hash<egretlatch::DaemonId>
{
    std::size_t operator()(const egretlatch::DaemonId &id) const noexcept
    {
        return std::hash<std::string>{}(id.value);
    }
};

template<>
struct std::hash<egretlatch::CallId>
{
    std::size_t operator()(const egretlatch::CallId &id) const noexcept
    {
        return std::hash<std::uint64_t>{}(id.value);
    }
};

template<>
struct std::hash<egretlatch::ExchangeId>
{
    std::size_t operator()(const egretlatch::ExchangeId &id) const noexcept
    {
        return std::hash<std::uint64_t>{}(id.value);
    }
};

template<>
struct std::hash<egretlatch::ExecutionId>
{
    std::size_t operator()(const egretlatch::ExecutionId &id) const noexcept
    {
        return std::hash<std::uint64_t>{}(id.value);
    }
};

#endif
