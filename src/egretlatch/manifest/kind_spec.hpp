#ifndef EGRETLATCH_MANIFEST_KIND_SPEC_HPP
#define EGRETLATCH_MANIFEST_KIND_SPEC_HPP

#include <chrono>
#include <string>
#include <vector>

namespace egretlatch::manifest
{

/*! @brief Calls of another kind that one run of a kind makes. */
struct InnerCall
{
    std::string service;
    std::string kind;
    /*! @brief How many such calls one run makes, at most. */
    int count{1};

    friend bool operator==(const InnerCall &, const InnerCall &) = default;
};

/*! @brief What the operators declare of one request kind of a service. */
struct KindSpec
{
    std::string name;
    /*! @brief 0 to 9; requests of a higher priority are shed after those of a lower one. */
    int priority{};
    /*! @brief What one whole request of this kind earns; 0 for kinds that only other services call. */
    double worth{};
    /*! @brief Whether running it twice does no harm. */
    bool idempotent{true};
    /*! @brief Time from arrival to answer where the caller names none. */
    std::chrono::milliseconds deadline{1000};
    /*! @brief Time within which an answer is worth all that it can be. */
    std::chrono::milliseconds answerTarget{1000};
    /*! @brief Time that one run holds a slot of the backend server, as declared; observation overrules it. */
    std::chrono::milliseconds cost{10};
    /*! @brief Attempts over the whole tree of a root of this kind beyond the first of each call. */
    int retryBudget{2};
    std::vector<InnerCall> calls;

    friend bool operator==(const KindSpec &, const KindSpec &) = default;
};

} // namespace egretlatch::manifest

#endif
