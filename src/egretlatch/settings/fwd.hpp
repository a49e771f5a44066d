#ifndef EGRETLATCH_SETTINGS_FWD_HPP
#define EGRETLATCH_SETTINGS_FWD_HPP

namespace egretlatch::settings
{

struct Problem;
struct DaemonSettings;
struct PeerKeys;
struct PeerSettings;

class JsonObjectReader;

} // namespace egretlatch::settings

#endif
