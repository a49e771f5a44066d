#ifndef EGRETLATCH_DAEMON_STATUS_DOCUMENT_HPP
#define EGRETLATCH_DAEMON_STATUS_DOCUMENT_HPP

#include <string>

#include <egretlatch/admission/load_report.hpp>
#include <egretlatch/configuration/report.hpp>
#include <egretlatch/membership/peer_silence.hpp>
#include <egretlatch/membership/roster.hpp>

namespace egretlatch::daemon
{

/**
 * @brief Returns the status of a daemon for operators.
 * @param roster Members known to the daemon.
 * @param configuration Configuration versions in force here and, as reported, at other daemons.
 * @param load Load of the daemon's backend server.
 * @param silence Time without a message from any other daemon.
 * @return JSON document.
 */
[[nodiscard]] std::string statusDocument(const membership::Roster &roster,
                                         const configuration::Report &configuration,
                                         const admission::LoadReport &load,
                                         const membership::PeerSilence &silence);

} // namespace egretlatch::daemon

#endif
