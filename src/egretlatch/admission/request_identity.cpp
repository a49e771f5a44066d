#include <egretlatch/admission/request_identity.hpp>

#include <algorithm>
#include <cstring>

#include <fmt/format.h>
#include <xxhash.h>

namespace egretlatch::admission
{

static_assert(sizeof(RequestIdentity) == 2 * sizeof(std::uint64_t));

RequestIdentity identityOf(const RequestParts &parts)
{
    const std::string content = fmt::format("{}\n{}\n{}\n{:x}", parts.kind, parts.method, parts.path, XXH3_64bits(parts.body.data(), parts.body.size()));
    const std::string caller = fmt::format("{}\n{}", parts.service, parts.account);
    return {.content = XXH3_64bits(content.data(), content.size()), .caller = XXH3_64bits(caller.data(), caller.size())};
}

std::string toBytes(const std::vector<RequestIdentity> &requests)
{
    const std::size_t count = std::min(requests.size(), maxIdentitiesPerMessage);
    std::string bytes(count * sizeof(RequestIdentity), '\0');
    if (count > 0) {
        std::memcpy(bytes.data(), requests.data(), bytes.size());
    }
    return bytes;
}

std::vector<RequestIdentity> identitiesFrom(const std::string_view bytes)
{
    std::vector<RequestIdentity> requests(bytes.size() / sizeof(RequestIdentity));
    // The data pointer of an empty view may be null, which memcpy() does not allow.
    if (!requests.empty()) {
        std::memcpy(requests.data(), bytes.data(), requests.size() * sizeof(RequestIdentity));
    }
    return requests;
}

} // namespace egretlatch::admission
