#ifndef EGRETLATCH_SETTINGS_PEER_KEYS_HPP
#define EGRETLATCH_SETTINGS_PEER_KEYS_HPP

#include <string>
#include <vector>

namespace egretlatch::settings
{

/*! @brief CURVE keys with which daemons authenticate each other, as Z85 text. */
struct PeerKeys
{
    std::string publicKey;
    std::string secretKey;
    /*! @brief Public keys accepted for incoming and outgoing connections; several during a key rotation. */
    std::vector<std::string> accepted;

    friend bool operator==(const PeerKeys &, const PeerKeys &) = default;
};

/**
 * @brief Checks that a text has the format of a key.
 * @param text Any text.
 * @return True for 40 characters of the Z85 alphabet.
 */
[[nodiscard]] bool isValidKey(const std::string &text) noexcept;

} // namespace egretlatch::settings

#endif
