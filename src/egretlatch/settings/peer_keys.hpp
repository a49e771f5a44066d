#ifndef EGRETLATCH_SETTINGS_PEER_KEYS_HPP
#define EGRETLATCH_SETTINGS_PEER_KEYS_HPP

#include <string>
#include <vector>

namespace egretlatch::settings
{

/*! @brief The CURVE keys by which daemons know one another, as Z85 text. */
struct PeerKeys
{
    std::string publicKey;
    std::string secretKey;
    /*! @brief Public keys that are let in and connected to; several while keys are changed. */
    std::vector<std::string> accepted;

    friend bool operator==(const PeerKeys &, const PeerKeys &) = default;
};

/**
 * @brief Says whether a text has the form of a key.
 * @param text Any text.
 * @return True for 40 characters of the Z85 alphabet.
 */
[[nodiscard]] bool isValidKey(const std::string &text) noexcept;

} // namespace egretlatch::settings

#endif
