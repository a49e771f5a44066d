#include <egretlatch/configuration/poll_schedule.hpp>

#include <algorithm>

namespace egretlatch::configuration
{

namespace internal
{

constexpr std::chrono::milliseconds answerTimeout{2000};
// Time between two polls of a reader where there are many. Below the shortest history that the store keeps, 20 s, by the shortest
// poll and the gap between two calls, so that the next call still finds the position it continues from.
constexpr std::chrono::milliseconds maxPollPeriod{14'000};
// Time between the ends of polls of two readers, which few readers keep up by polling more often.
constexpr std::chrono::milliseconds pollSpacing{1200};
constexpr std::chrono::milliseconds minPollPeriod{3000};
// A poll that would end sooner lasts until the reader's next turn, so that changes do not double the calls.
constexpr std::chrono::milliseconds minPollWait{4000};
// Time since the last answer up to which the next call continues from its position.
constexpr std::chrono::milliseconds maxReadingGap{1000};
// Age of the newest answer known in the fleet from which a poll may have been lost: two turns, and the time in which adverts
// deliver an answer. The random part lets few readers check when the store stays silent for all. A configuration is due two
// seconds after its acknowledgement in a store that has been sound for three, so a check has to follow within four.
constexpr std::chrono::milliseconds minLostPollAge{2500};
constexpr std::chrono::milliseconds lostPollSpread{1500};
constexpr std::chrono::milliseconds minRetryDelay{200};
// Refused calls are charged and return nothing, so they back off. The limit lets the reading resume within two seconds of the
// store's recovery.
constexpr std::chrono::milliseconds maxRetryDelay{1500};

[[nodiscard]] static std::chrono::milliseconds periodOf(const ReadTurn &turn)
{
    return std::clamp(internal::pollSpacing * static_cast<int>(turn.count), internal::minPollPeriod, internal::maxPollPeriod);
}

/*! @brief Returns the time to the next moment of the store's clock that is the reader's turn. */
[[nodiscard]] static std::chrono::milliseconds timeToTurn(const ReadTurn &turn, const store::StoreTime storeNow)
{
    const std::chrono::milliseconds period = periodOf(turn);
    const std::chrono::milliseconds offset = period * static_cast<int>(turn.index) / static_cast<int>(turn.count);
    const std::chrono::milliseconds sinceTurn = (storeNow.time_since_epoch() - offset) % period;
    return period - sinceTurn;
}

} // namespace internal

PollSchedule::PollSchedule(RandomSource &random)
    : m_random{random}
    , m_backoff{internal::minRetryDelay, internal::maxRetryDelay}
{
}

std::optional<PlannedCall> PollSchedule::next(const PollConditions &conditions, const SteadyTime now)
{
    const bool isReplaced = isPendingCallObsolete(conditions, now);
    const bool isDue = conditions.reason != ReadReason::none && !m_pending.has_value() && now >= m_nextCall;
    if (!isReplaced && !isDue) {
        return std::nullopt;
    }
    PlannedCall planned{.call = isReplaced ? ReadCall::check : chooseCall(conditions, now), .wait = {}, .timeout = internal::answerTimeout};
    if (planned.call == ReadCall::read) {
        m_answeredAt.reset();
    }
    if (planned.call == ReadCall::longPoll) {
        planned.wait = pollWait(conditions, now);
        planned.timeout += planned.wait;
        m_maxAnswerAge = internal::minLostPollAge + m_random.below(internal::lostPollSpread);
    }
    m_pending = planned.call;
    return planned;
}

bool PollSchedule::isPendingCallObsolete(const PollConditions &conditions, const SteadyTime now) const
{
    if (m_pending != ReadCall::longPoll) {
        return false;
    }
    if (conditions.reason == ReadReason::contact) {
        return true;
    }
    const Duration ownAge = m_answeredAt.has_value() ? now - *m_answeredAt : Duration::max();
    return std::min(ownAge, conditions.newestAnswerAge.value_or(Duration::max())) > m_maxAnswerAge;
}

ReadCall PollSchedule::chooseCall(const PollConditions &conditions, const SteadyTime now) const
{
    if (m_hasPosition && conditions.reason == ReadReason::contact) {
        return ReadCall::check;
    }
    // After a failed call, or a time without reads, a plain read shows at once whether the store answers and which configuration it
    // holds; a long poll would show neither until it ends.
    const bool isRecent = m_answeredAt.has_value() && now - *m_answeredAt < internal::maxReadingGap;
    return m_hasPosition && isRecent ? ReadCall::longPoll : ReadCall::read;
}

std::chrono::milliseconds PollSchedule::pollWait(const PollConditions &conditions, const SteadyTime now)
{
    const ReadTurn &turn = conditions.turn;
    const std::optional<store::StoreTime> storeTime = storeNow(now);
    std::chrono::milliseconds wait{};
    if (turn.count > 0 && storeTime.has_value()) {
        wait = internal::timeToTurn(turn, *storeTime);
        wait += wait < internal::minPollWait ? internal::periodOf(turn) : std::chrono::milliseconds{0};
    } else {
        wait = internal::maxPollPeriod / 2 + std::chrono::duration_cast<std::chrono::milliseconds>(m_random.below(internal::maxPollPeriod / 2));
    }
    return std::min(conditions.pollLimit.value_or(wait), wait);
}

std::optional<store::StoreTime> PollSchedule::storeNow(const SteadyTime now) const
{
    if (!m_storeReading.has_value()) {
        return std::nullopt;
    }
    return m_storeReading->storeNow + std::chrono::duration_cast<std::chrono::milliseconds>(now - m_storeReading->at);
}

void PollSchedule::noteAnswer(const std::optional<store::StoreTime> storeNow, const bool hasDocuments, const SteadyTime now)
{
    m_pending.reset();
    m_backoff.reset();
    m_hasPosition = true;
    m_answeredAt = now;
    if (storeNow.has_value()) {
        m_storeReading = {.storeNow = *storeNow, .at = now};
    }
    // Prevents a busy loop when the store answers at once with an empty page.
    m_nextCall = hasDocuments ? now : now + internal::minRetryDelay;
}

void PollSchedule::noteFailure(const SteadyTime now)
{
    m_pending.reset();
    m_answeredAt.reset();
    m_nextCall = now + m_backoff.next(m_random);
}

std::optional<SteadyTime> PollSchedule::confirmedAt(const SteadyTime now) const
{
    return m_pending == ReadCall::longPoll && m_answeredAt.has_value() ? std::optional{now} : m_answeredAt;
}

} // namespace egretlatch::configuration
