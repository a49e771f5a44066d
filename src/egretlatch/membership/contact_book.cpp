#include <egretlatch/membership/contact_book.hpp>

#include <fmt/format.h>
#include <xxhash.h>

namespace egretlatch::membership
{

namespace internal
{

constexpr std::uint64_t contactRows = 16;
constexpr std::chrono::seconds writeInterval{60};
// An isolated daemon reads the rows again after the first interval, which doubles with each read up to the second one.
constexpr std::chrono::milliseconds minReadInterval{1000};
constexpr std::chrono::seconds maxReadInterval{10};
constexpr std::chrono::seconds maxFirstTurnDelay{10};
// With this many contacts at least one is reachable, unless all rows are of an earlier fleet.
constexpr std::size_t enoughContacts = 8;
// Time after which an isolated daemon considers its contacts gone: a ping is answered within a few milliseconds, but after a power
// loss the contacts restart too, up to a second later. With the random part, the next read of the others finds the first rows.
constexpr std::chrono::milliseconds contactTimeout{1000};
constexpr std::chrono::milliseconds maxWriteDelay{1000};
constexpr const char *rowPrefix = "contact/";
constexpr char separator = '\n';

} // namespace internal

ContactBook::ContactBook(Contact self, RandomSource &random)
    : m_self{std::move(self)}
    , m_random{random}
    , m_readBackoff{internal::minReadInterval, internal::maxReadInterval}
{
}

std::optional<store::Request> ContactBook::tick(const std::size_t others, const SteadyTime now)
{
    return others == 0 ? tickIsolated(now) : tickJoined(others, now);
}

std::optional<store::Request> ContactBook::tickIsolated(const SteadyTime now)
{
    if (m_isolatedWrite.has_value() && now >= *m_isolatedWrite) {
        m_isolatedWrite.reset();
        return writeRequest();
    }
    if (now < m_nextRead) {
        return std::nullopt;
    }
    m_nextRead = now + m_readBackoff.next(m_random);
    return store::TableScan{.prefix = internal::rowPrefix, .after = {}, .limit = static_cast<int>(internal::contactRows)};
}

std::optional<store::Request> ContactBook::tickJoined(const std::size_t others, const SteadyTime now)
{
    m_isolatedWrite.reset();
    if (!m_nextWriteTurn.has_value()) {
        // The first turn comes early, so that a small fleet has all its rows soon after it starts.
        m_nextWriteTurn = now + m_random.below(internal::maxFirstTurnDelay);
    }
    if (now < *m_nextWriteTurn) {
        return std::nullopt;
    }
    m_nextWriteTurn = now + std::chrono::duration_cast<Duration>(internal::writeInterval * (0.5 + m_random.fraction()));
    const bool isChosen = m_random.below(others + 1) < internal::contactRows;
    return isChosen ? std::optional{writeRequest()} : std::nullopt;
}

std::vector<Contact> ContactBook::handleOutcome(const store::Outcome &outcome, const SteadyTime now)
{
    std::vector<Contact> contacts;
    const auto *const found = outcome.has_value() ? std::get_if<store::RowsReply>(&*outcome) : nullptr;
    if (found == nullptr) {
        return contacts;
    }
    m_isListed = false;
    for (const store::Row &row : found->rows) {
        const std::size_t middle = row.value.find(internal::separator);
        if (middle == std::string::npos) {
            continue;
        }
        const Contact contact{.id = {row.value.substr(0, middle)}, .endpoint = row.value.substr(middle + 1)};
        m_isListed = m_isListed || contact == m_self;
        if (contact.id != m_self.id && contact.endpoint.starts_with("tcp://")) {
            contacts.push_back(contact);
        }
    }
    m_isolatedWrite.reset();
    const bool areEnough = contacts.size() >= internal::enoughContacts;
    if (areEnough) {
        m_nextRead = now + internal::contactTimeout + internal::maxWriteDelay;
    }
    if (!m_isListed) {
        m_isolatedWrite = now + (areEnough ? internal::contactTimeout + m_random.below(internal::maxWriteDelay) : Duration{});
    }
    return contacts;
}

store::Request ContactBook::writeRequest()
{
    m_isListed = true;
    const std::uint64_t slot = XXH64(m_self.id.value.data(), m_self.id.value.size(), 0) % internal::contactRows;
    const std::string value = m_self.id.value + internal::separator + m_self.endpoint;
    return store::TableWrite{.conditions = {}, .writes = {{.key = fmt::format("{}{:02}", internal::rowPrefix, slot), .value = value}}};
}

} // namespace egretlatch::membership
