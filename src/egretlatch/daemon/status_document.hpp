#ifndef EGRETLATCH_DAEMON_STATUS_DOCUMENT_HPP
#define EGRETLATCH_DAEMON_STATUS_DOCUMENT_HPP

#include <cstdint>
#include <string>

#include <egretlatch/admission/load_report.hpp>
#include <egretlatch/membership/roster.hpp>

namespace egretlatch::daemon
{

/**
 * @brief Describes what a daemon knows, for operators.
 * @param roster The members it knows.
 * @param manifestVersion Version of the configuration in force; zero for none.
 * @param load Load of its backend server.
 * @return A JSON document.
 */
[[nodiscard]] std::string statusDocument(const membership::Roster &roster, std::uint64_t manifestVersion, const admission::LoadReport &load);

} // namespace egretlatch::daemon

#endif
