#ifndef EGRETLATCH_CLI_LOG_FILE_HPP
#define EGRETLATCH_CLI_LOG_FILE_HPP

#include <string>

#include <QByteArray>
#include <QFile>

#include <fmt/format.h>

#include <egretlatch/core/error.hpp>

namespace egretlatch::cli
{

/**
 * @brief Reads a daemon's log.
 * @param path Its path; `-` is standard input.
 * @return The log; `unavailable` if it cannot be read.
 */
[[nodiscard]] inline Result<QByteArray> readLog(const std::string &path)
{
    QFile file{QString::fromStdString(path)};
    const bool isOpen = path == "-" ? file.open(stdin, QIODevice::ReadOnly) : file.open(QIODevice::ReadOnly);
    if (!isOpen) {
        return tl::unexpected{Error{ErrorCode::unavailable, fmt::format("cannot read {}: {}", path, file.errorString().toStdString())}};
    }
    return file.readAll();
}

} // namespace egretlatch::cli

#endif
