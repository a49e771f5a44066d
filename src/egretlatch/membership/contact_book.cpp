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
constexpr std::chrono::milliseconds maxFirstWriteDelay{300};
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
    if (!m_nextWriteTurn.has_value()) {
        // The first write comes early, so that a small fleet has its rows soon after it starts. An isolated daemon writes even
        // earlier: it may be the first of a fleet that starts all at once, and the others need its row to find it.
        const Duration latest = others == 0 ? Duration{internal::maxFirstWriteDelay} : Duration{internal::maxReadInterval};
        m_nextWriteTurn = now + Duration{static_cast<Duration::rep>(static_cast<double>(latest.count()) * m_random.fraction())};
    }
    if (now >= m_nextRead && others == 0) {
        m_nextRead = now + m_readBackoff.next(m_random);
        return store::TableScan{.prefix = internal::rowPrefix, .after = {}, .limit = static_cast<int>(internal::contactRows)};
    }
    if (now < *m_nextWriteTurn) {
        return std::nullopt;
    }
    m_nextWriteTurn = now + std::chrono::duration_cast<Duration>(internal::writeInterval * (0.5 + m_random.fraction()));
    const bool isChosen = m_random.below(others + 1) < internal::contactRows;
    return isChosen ? std::optional{writeRequest()} : std::nullopt;
}

std::vector<Contact> ContactBook::handleOutcome(const store::Outcome &outcome) const
{
    std::vector<Contact> contacts;
    const auto *const found = outcome.has_value() ? std::get_if<store::RowsReply>(&*outcome) : nullptr;
    if (found == nullptr) {
        return contacts;
    }
    for (const store::Row &row : found->rows) {
        const std::size_t middle = row.value.find(internal::separator);
        if (middle == std::string::npos) {
            continue;
        }
        const Contact contact{.id = {row.value.substr(0, middle)}, .endpoint = row.value.substr(middle + 1)};
        if (contact.id != m_self.id && contact.endpoint.starts_with("tcp://")) {
            contacts.push_back(contact);
        }
    }
    return contacts;
}

store::Request ContactBook::writeRequest() const
{
    const std::uint64_t slot = XXH64(m_self.id.value.data(), m_self.id.value.size(), 0) % internal::contactRows;
    const std::string value = m_self.id.value + internal::separator + m_self.endpoint;
    return store::TableWrite{.conditions = {}, .writes = {{.key = fmt::format("{}{:02}", internal::rowPrefix, slot), .value = value}}};
}

} // namespace egretlatch::membership
