#include <egretlatch/daemon/single_use_body.hpp>

#include <algorithm>
#include <cstring>

namespace egretlatch::daemon
{

SingleUseBody::SingleUseBody(QByteArray body, QObject *const parent)
    : QIODevice{parent}
    , m_body{std::move(body)}
{
    open(QIODevice::ReadOnly | QIODevice::Unbuffered);
}

qint64 SingleUseBody::size() const
{
    return m_body.size();
}

bool SingleUseBody::reset()
{
    return false;
}

qint64 SingleUseBody::readData(char *const data, const qint64 maxSize)
{
    const qint64 count = std::min<qint64>(maxSize, m_body.size() - m_offset);
    std::memcpy(data, m_body.constData() + m_offset, static_cast<std::size_t>(count));
    m_offset += count;
    return count;
}

qint64 SingleUseBody::writeData(const char * /*data*/, const qint64 /*size*/)
{
    return -1;
}

} // namespace egretlatch::daemon
