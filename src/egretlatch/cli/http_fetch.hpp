#ifndef EGRETLATCH_CLI_HTTP_FETCH_HPP
#define EGRETLATCH_CLI_HTTP_FETCH_HPP

#include <string>

#include <QByteArray>

#include <egretlatch/core/error.hpp>
#include <egretlatch/core/secret.hpp>

namespace egretlatch::cli
{

/**
 * @brief Reads a page of a daemon; needs an application object, and runs its event loop while it waits.
 * @param url URL of the page.
 * @param token The operators' token; empty for none.
 * @return The page; `forbidden`, `notFound` or `unavailable` otherwise.
 */
[[nodiscard]] Result<QByteArray> fetchPage(const std::string &url, const Secret &token);

} // namespace egretlatch::cli

#endif
