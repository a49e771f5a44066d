#ifndef STANDIN_LOAD_SCENARIO_HPP
#define STANDIN_LOAD_SCENARIO_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <QByteArray>

#include <tl/expected.hpp>

#include <egretlatch/settings/problem.hpp>

namespace standin::load
{

/*! @brief A request kind with its part of the requests. */
struct KindShare
{
    std::string service;
    std::string kind;
    /*! @brief Weight against the other kinds; any sum will do. */
    double share{};

    friend bool operator==(const KindShare &, const KindShare &) = default;
};

/*! @brief A span of time with one rate. */
struct Phase
{
    std::string name;
    int seconds{};
    /*! @brief New requests a second, resends not counted. */
    int rate{};

    friend bool operator==(const Phase &, const Phase &) = default;
};

/*! @brief Where the request keys of kinds that are not idempotent come from. */
enum class KeySource {
    /*! @brief A daemon mints them: `POST /keys/{service}/{kind}`. */
    daemon,
    /*! @brief Callers make UUIDv7s of their own. */
    caller,
};

/*! @brief How callers behave; the same for all kinds. */
struct CallerBehaviour
{
    /*! @brief Resends after the first attempt, at most. */
    int resends{};
    /*! @brief Time between the end of an attempt and the next. */
    std::chrono::milliseconds resendAfter{50};
    /*! @brief Factor on that time from one resend to the next. */
    double backoff{1.0};
    /*! @brief Whether `Retry-After` is waited for. */
    bool honoursRetryAfter{};
    /*! @brief Time that each attempt has; zero for the deadline of the kind. */
    std::chrono::milliseconds timeout{};
    /*! @brief Share of the requests whose connection is closed before the answer. */
    double cancelShare{};
    std::chrono::milliseconds cancelAfter{20};
    int bodyBytes{128};
    KeySource keys{KeySource::daemon};

    friend bool operator==(const CallerBehaviour &, const CallerBehaviour &) = default;
};

/*! @brief Requests outside the mix, such as one that crashes each backend server that runs it. */
struct SingleRequest
{
    std::chrono::milliseconds at{};
    std::string service;
    std::string kind;
    std::string body;
    int count{1};

    friend bool operator==(const SingleRequest &, const SingleRequest &) = default;
};

/*! @brief What is done to a process, by whom. */
enum class FaultAction {
    /*! @brief The load tool posts a behaviour to `/control` of a backend server. */
    control,
    /*! @brief Signals and restarts; scripts/experiment does them. */
    process,
};

/*! @brief A fault at a time. */
struct FaultStep
{
    std::chrono::milliseconds at{};
    FaultAction action{FaultAction::control};
    std::string service;
    /*! @brief Number of the backend server within its service; negative for all. */
    int server{-1};
    /*! @brief Body of the request to `/control`. */
    QByteArray behaviour;

    friend bool operator==(const FaultStep &, const FaultStep &) = default;
};

/*! @brief The span of time whose end recovery is counted from. */
struct OverloadSpan
{
    int fromSecond{};
    int toSecond{};

    friend bool operator==(const OverloadSpan &, const OverloadSpan &) = default;
};

/*! @brief A load experiment as a person wrote it. */
struct Scenario
{
    std::string name;
    std::uint64_t seed{1};
    std::vector<KindShare> kinds;
    std::vector<Phase> phases;
    CallerBehaviour callers;
    std::vector<SingleRequest> singles;
    std::vector<FaultStep> faults;
    OverloadSpan overload;

    friend bool operator==(const Scenario &, const Scenario &) = default;
};

/**
 * @brief Reads and checks a scenario.
 * @param json Text of the document.
 * @return The scenario, or every problem found in the text.
 */
[[nodiscard]] tl::expected<Scenario, egretlatch::settings::Problems> parseScenario(const QByteArray &json);

/**
 * @brief Gives the length of all phases.
 * @param scenario The scenario.
 * @return Whole seconds.
 */
[[nodiscard]] int durationSeconds(const Scenario &scenario);

} // namespace standin::load

#endif
