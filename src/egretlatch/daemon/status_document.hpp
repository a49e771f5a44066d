#ifndef EGRETLATCH_DAEMON_STATUS_DOCUMENT_HPP
#define EGRETLATCH_DAEMON_STATUS_DOCUMENT_HPP

#include <string>

#include <egretlatch/admission/load_report.hpp>
#include <egretlatch/configuration/report.hpp>
#include <egretlatch/membership/roster.hpp>

namespace egretlatch::daemon
{

/**
 * @brief Describes what a daemon knows, for operators.
 * @param roster The members it knows.
 * @param configuration What it knows of the configurations in force.
 * @param load Load of its backend server.
 * @return A JSON document.
 */
[[nodiscard]] std::string statusDocument(const membership::Roster &roster, const configuration::Report &configuration, const admission::LoadReport &load);

} // namespace egretlatch::daemon

#endif
