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
    /*! @brief Identifies the request independently of its key and entry; each send without a key has its own. */
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
    /*! @brief Answer of the run, if it completes; unique for each run. */
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

/*! @brief Observed events of one schedule, in order of time within each list. */
struct History
{
    std::vector<Sent> sent;
    std::vector<Ran> ran;
    std::vector<Answered> answered;
    /*! @brief Exchanges that need no answer: the entry crashed, or the caller closed the connection. */
    std::vector<int> exempt;
    /*! @brief Attempts sent to serving daemons, by trace id of their root. */
    std::map<std::string, int> attempts;
    /*! @brief Inner calls made in the call tree of a root, by its trace id. */
    std::map<std::string, int> innerCalls;
    /*! @brief Attempts that a root may make beyond the first of each call. */
    int retryBudget{};
};

/**
 * @brief Checks the invariants of requests.
 * @param history The observed events.
 * @return A line for each violation; empty if there is none.
 */
[[nodiscard]] std::vector<std::string> check(const History &history);

} // namespace history

#endif
