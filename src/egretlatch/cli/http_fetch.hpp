#ifndef EGRETLATCH_CLI_HTTP_FETCH_HPP
#define EGRETLATCH_CLI_HTTP_FETCH_HPP

#include <string>

#include <QByteArray>

#include <egretlatch/core/error.hpp>
#include <egretlatch/core/secret.hpp>

namespace egretlatch::cli
{

/**
 * @brief Fetches a page from a daemon; requires an application object and runs its event loop while waiting.
 * @param url URL of the page.
 * @param token The operators' token; empty for none.
 * @return The page; `forbidden`, `notFound` or `unavailable` otherwise.
 */
[[nodiscard]] Result<QByteArray> fetchPage(const std::string &url, const Secret &token);

} // namespace egretlatch::cli

#endif
