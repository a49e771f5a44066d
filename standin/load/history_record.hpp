#ifndef STANDIN_LOAD_HISTORY_RECORD_HPP
#define STANDIN_LOAD_HISTORY_RECORD_HPP

#include <cstddef>
#include <string>

#include <egretlatch/core/clock.hpp>

#include <load/attempt_outcome.hpp>

namespace standin::load
{

/*! @brief Attempt as observed by the caller, for checkers that verify the whole history. */
struct HistoryRecord
{
    /*! @brief Index into the request kinds of the run. */
    std::size_t kind{};
    /*! @brief Identifier of the request, the same for all its attempts and keys. */
    std::string request;
    /*! @brief Request key; empty for an idempotent kind, or if no daemon minted one. */
    std::string key;
    /*! @brief Number of the attempt, counted from 1. */
    int attempt{};
    /*! @brief Send time, from the start of the run. */
    egretlatch::Duration sent{};
    /*! @brief End time, from the start of the run. */
    egretlatch::Duration ended{};
    /*! @brief HTTP status; zero without an answer. */
    int status{};
    AttemptOutcome outcome;

    friend bool operator==(const HistoryRecord &, const HistoryRecord &) = default;
};

} // namespace standin::load

#endif
