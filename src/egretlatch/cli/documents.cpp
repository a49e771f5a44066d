#include <egretlatch/cli/documents.hpp>

#include <QFile>

#include <fmt/format.h>

namespace egretlatch::cli
{

namespace internal
{

static void printProblems(const std::string &path, const settings::Problems &problems)
{
    for (const settings::Problem &problem : problems) {
        fmt::print(stderr, "{}\n", settings::toLine(path, problem));
    }
}

} // namespace internal

std::optional<QByteArray> readFile(const std::string &path)
{
    QFile file{QString::fromStdString(path)};
    if (!file.open(QIODevice::ReadOnly)) {
        fmt::print(stderr, "{}: cannot be read: {}\n", path, file.errorString().toStdString());
        return std::nullopt;
    }
    return file.readAll();
}

std::optional<settings::DaemonSettings> readSettings(const std::string &path)
{
    const std::optional<QByteArray> text = readFile(path);
    if (!text.has_value()) {
        return std::nullopt;
    }
    tl::expected<settings::DaemonSettings, settings::Problems> settings = settings::parseDaemonSettings(*text);
    if (!settings.has_value()) {
        internal::printProblems(path, settings.error());
        return std::nullopt;
    }
    return *settings;
}

std::shared_ptr<const manifest::Manifest> readManifest(const std::string &path)
{
    const std::optional<QByteArray> text = readFile(path);
    if (!text.has_value()) {
        return nullptr;
    }
    tl::expected<manifest::ParsedManifest, settings::Problems> parsed = manifest::parseManifest(*text);
    if (!parsed.has_value()) {
        internal::printProblems(path, parsed.error());
        return nullptr;
    }
    internal::printProblems(path, parsed->warnings);
    return parsed->manifest;
}

std::optional<Secret> readToken(const std::string &path)
{
    if (path.empty()) {
        return Secret{};
    }
    const std::optional<QByteArray> text = readFile(path);
    if (!text.has_value()) {
        return std::nullopt;
    }
    Secret token{text->trimmed().toStdString()};
    if (token.isEmpty()) {
        fmt::print(stderr, "{}: holds no token\n", path);
        return std::nullopt;
    }
    return token;
}

} // namespace egretlatch::cli
