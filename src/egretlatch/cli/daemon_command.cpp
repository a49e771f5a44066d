#include <egretlatch/cli/daemon_command.hpp>

#include <cstdint>

#include <unistd.h>

#include <QCoreApplication>
#include <QSocketNotifier>

#include <fmt/format.h>

#include <egretlatch/cli/documents.hpp>
#include <egretlatch/cli/exit_code.hpp>
#include <egretlatch/cli/qt_message_log.hpp>
#include <egretlatch/cli/signal_descriptor.hpp>
#include <egretlatch/daemon/daemon.hpp>

namespace egretlatch::cli
{

int runDaemon(const std::string &settingsPath, int argc, char **argv)
{
    const std::optional<settings::DaemonSettings> settings = readSettings(settingsPath);
    if (!settings.has_value()) {
        return ExitCode::badInput;
    }
    std::shared_ptr<const manifest::Manifest> manifest;
    if (!settings->manifestFile.empty()) {
        manifest = readManifest(settings->manifestFile);
        if (manifest == nullptr) {
            return ExitCode::badInput;
        }
    }
    std::optional<Secret> operatorToken = readToken(settings->operatorTokenFile);
    std::optional<Secret> platformToken = readToken(settings->platformTokenFile);
    if (!operatorToken.has_value() || !platformToken.has_value()) {
        return ExitCode::badInput;
    }
    daemon::Tokens tokens{.operators = std::move(*operatorToken), .platform = std::move(*platformToken)};
    // Qt prefers GLib's event loop where it is available, which uses more processor time per call (docs/DESIGN.md).
    qputenv("QT_NO_GLIB", "1");
    const int signalDescriptor = openSignalDescriptor({SIGTERM, SIGINT});
    const Logger logger{settings->logLevel, settings->id.value};
    const QtMessageLog qtMessages{logger};
    QCoreApplication application{argc, argv};
    daemon::Daemon daemon{*settings, std::move(tokens), std::move(manifest)};
    QSocketNotifier notifier{signalDescriptor, QSocketNotifier::Read};
    QObject::connect(&notifier, &QSocketNotifier::activated, &application, [&daemon, signalDescriptor] {
        signalfd_siginfo info{};
        static_cast<void>(::read(signalDescriptor, &info, sizeof info));
        daemon.drain();
    });
    const Result<void> started = daemon.start();
    if (!started.has_value()) {
        fmt::print(stderr, "egretlatch: {}\n", started.error().message);
        return ExitCode::unavailable;
    }
    return QCoreApplication::exec();
}

} // namespace egretlatch::cli
