#include <egretlatch/core/content_hash.hpp>

#include <QCryptographicHash>

namespace egretlatch
{

std::string contentHash(const QByteArray &bytes)
{
    return QCryptographicHash::hash(bytes, QCryptographicHash::Sha256).toHex().toStdString();
}

} // namespace egretlatch
