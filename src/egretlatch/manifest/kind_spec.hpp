#ifndef EGRETLATCH_MANIFEST_KIND_SPEC_HPP
#define EGRETLATCH_MANIFEST_KIND_SPEC_HPP

#include <chrono>
#include <string>
#include <vector>

namespace egretlatch::manifest
{

/*! @brief Calls to another kind that a run of a kind makes. */
struct InnerCall
{
    std::string service;
    std::string kind;
    /*! @brief Maximum number of such calls per run. */
    int count{1};

    friend bool operator==(const InnerCall &, const InnerCall &) = default;
};

/*! @brief Operators' declaration of a request kind of a service. */
struct KindSpec
{
    std::string name;
    /*! @brief 0 to 9; requests of a lower priority are shed first. */
    int priority{};
    /*! @brief Value of a completed request of this kind; 0 for kinds that only other services call. */
    double worth{};
    /*! @brief True if a request may safely run more than once. */
    bool idempotent{true};
    /*! @brief Default time from arrival to answer, if the caller sets none. */
    std::chrono::milliseconds deadline{1000};
    /*! @brief Time within which an answer has its full worth. */
    std::chrono::milliseconds answerTarget{1000};
    /*! @brief Declared time for which a run holds a slot of the backend server; observed times override it. */
    std::chrono::milliseconds cost{10};
    /*! @brief Attempts beyond the first of each call, over the whole call tree of a root of this kind. */
    int retryBudget{2};
    /*! @brief True if callers need no API key, even if the manifest declares accounts. */
    bool isPublic{};
    std::vector<InnerCall> calls;

    friend bool operator==(const KindSpec &, const KindSpec &) = default;
};

} // namespace egretlatch::manifest

#endif
