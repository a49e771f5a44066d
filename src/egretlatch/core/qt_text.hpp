#ifndef EGRETLATCH_CORE_QT_TEXT_HPP
#define EGRETLATCH_CORE_QT_TEXT_HPP

#include <string_view>

#include <QString>

namespace egretlatch
{

/**
 * @brief Converts UTF-8 to a Qt string.
 * @param text UTF-8 text.
 * @return The same text; invalid UTF-8 is replaced.
 */
[[nodiscard]] inline QString toQt(const std::string_view text)
{
    return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

} // namespace egretlatch

#endif
