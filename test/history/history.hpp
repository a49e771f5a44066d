#ifndef TEST_HISTORY_HISTORY_HPP
#define TEST_HISTORY_HISTORY_HPP

#include <map>
#include <string>
#include <vector>

#include <egretlatch/core/verdict.hpp>

namespace history
{

/*! @brief A caller sent a request. */
struct Sent
{
    int exchange{};
    std::string key;
    /*! @brief Names the request whatever its key and entry; unkeyed sends have one each. */
    std::string logicalId;
    bool idempotent{};
};

/*! @brief A backend server began to run a request. */
struct Ran
{
    std::string service;
    std::string kind;
    std::string key;
    std::string logicalId;
    bool idempotent{};
    /*! @brief What the run answers if it gets to; different for each run. */
    std::string answer;
};

/*! @brief A caller was answered. */
struct Answered
{
    int exchange{};
    egretlatch::Verdict verdict{};
    std::string reason;
    std::string body;
};

/*! @brief What was seen of one schedule, in order of time within each list. */
struct History
{
    std::vector<Sent> sent;
    std::vector<Ran> ran;
    std::vector<Answered> answered;
    /*! @brief Exchanges whose entry died, or whose caller closed the connection: no answer is owed. */
    std::vector<int> exempt;
    /*! @brief Attempts sent to serving daemons, by the trace of their root. */
    std::map<std::string, int> attempts;
    /*! @brief Inner calls that the runs of a root's tree have made, by its trace. */
    std::map<std::string, int> innerCalls;
    /*! @brief Attempts beyond the first of each call that a root may spend. */
    int retryBudget{};
};

/**
 * @brief Checks what must always hold of requests.
 * @param history What was seen.
 * @return A line for each violation; empty if there is none.
 */
[[nodiscard]] std::vector<std::string> check(const History &history);

} // namespace history

#endif
