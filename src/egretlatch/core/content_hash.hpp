#ifndef EGRETLATCH_CORE_CONTENT_HASH_HPP
#define EGRETLATCH_CORE_CONTENT_HASH_HPP

#include <string>

#include <QByteArray>

namespace egretlatch
{

/**
 * @brief Gives the hash that names a document.
 *
 * SHA-256, since a daemon takes a document from any peer that offers bytes of the right hash: nobody can make other
 * bytes with the same one.
 * @param bytes The document.
 * @return 64 hexadecimal digits in lower case.
 */
[[nodiscard]] std::string contentHash(const QByteArray &bytes);

} // namespace egretlatch

#endif
