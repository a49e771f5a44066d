#ifndef EGRETLATCH_CORE_CONTENT_HASH_HPP
#define EGRETLATCH_CORE_CONTENT_HASH_HPP

#include <string>

#include <QByteArray>

namespace egretlatch
{

/**
 * @brief Returns the hash that identifies a document.
 *
 * SHA-256, since a daemon accepts a document from any peer that offers bytes with the right hash, so collisions must be
 * infeasible.
 * @param bytes The document.
 * @return 64 lowercase hexadecimal digits.
 */
[[nodiscard]] std::string contentHash(const QByteArray &bytes);

} // namespace egretlatch

#endif
