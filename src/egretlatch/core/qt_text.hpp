#ifndef EGRETLATCH_CORE_QT_TEXT_HPP
#define EGRETLATCH_CORE_QT_TEXT_HPP

#include <string_view>

#include <QString>

namespace egretlatch
{

/**
 * @brief Makes a Qt string.
 * @param text UTF-8.
 * @return The same text; bytes that are not UTF-8 are replaced.
 */
[[nodiscard]] inline QString toQt(const std::string_view text)
{
    return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

} // namespace egretlatch

#endif
