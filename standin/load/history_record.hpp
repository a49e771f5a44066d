#ifndef STANDIN_LOAD_HISTORY_RECORD_HPP
#define STANDIN_LOAD_HISTORY_RECORD_HPP

#include <cstddef>
#include <string>

#include <egretlatch/core/clock.hpp>

#include <load/attempt_outcome.hpp>

namespace standin::load
{

/*! @brief One attempt at the caller's side, for checks of the whole history. */
struct HistoryRecord
{
    /*! @brief Index into the kinds of the run. */
    std::size_t kind{};
    /*! @brief Names the request over all its attempts and keys. */
    std::string request;
    /*! @brief Request key; empty for a kind that is idempotent. */
    std::string key;
    int attempt{};
    /*! @brief Time from the start of the run. */
    egretlatch::Duration sent{};
    egretlatch::Duration ended{};
    int status{};
    AttemptOutcome outcome;

    friend bool operator==(const HistoryRecord &, const HistoryRecord &) = default;
};

} // namespace standin::load

#endif
