#include <egretlatch/settings/peer_keys.hpp>

#include <string_view>

namespace egretlatch::settings
{

bool isValidKey(const std::string &text) noexcept
{
    constexpr std::size_t keyLength = 40;
    constexpr std::string_view z85Alphabet = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ.-:+=^!/*?&<>()[]{}@%$#";
    return text.size() == keyLength && text.find_first_not_of(z85Alphabet) == std::string::npos;
}

} // namespace egretlatch::settings
