#include <egretlatch/cli/sidecar_command.hpp>

#include <cstdint>

#include <malloc.h>
#include <unistd.h>

#include <QCoreApplication>
#include <QDateTime>
#include <QFile>
#include <QFileInfo>
#include <QSocketNotifier>
#include <QTimer>

#include <fmt/format.h>

#include <egretlatch/cli/exit_code.hpp>
#include <egretlatch/cli/signal_descriptor.hpp>
#include <egretlatch/net/event_dispatcher.hpp>
#include <egretlatch/sidecar/sidecar.hpp>

namespace egretlatch::cli
{

namespace internal
{

// Interval between checks of the settings file for changes.
constexpr std::chrono::seconds watchInterval{1};

[[nodiscard]] static std::optional<settings::SidecarSettings> readSidecarSettings(const std::string &path)
{
    QFile file{QString::fromStdString(path)};
    if (!file.open(QIODevice::ReadOnly)) {
        fmt::print(stderr, "egretlatch: cannot read {}: {}\n", path, file.errorString().toStdString());
        return std::nullopt;
    }
    const tl::expected<settings::SidecarSettings, settings::Problems> settings = settings::parseSidecarSettings(file.readAll());
    if (settings.has_value()) {
        return *settings;
    }
    for (const settings::Problem &problem : settings.error()) {
        fmt::print(stderr, "{}\n", settings::toLine(path, problem));
    }
    return std::nullopt;
}

} // namespace internal

int runSidecar(const std::string &settingsPath, int argc, char **argv)
{
    const std::optional<settings::SidecarSettings> settings = internal::readSidecarSettings(settingsPath);
    if (!settings.has_value()) {
        return ExitCode::badInput;
    }
    // One malloc arena for all threads: the few threads that Qt starts allocate little, and a separate arena for each would
    // hold more memory than they use.
    mallopt(M_ARENA_MAX, 1);
    const int signalDescriptor = openSignalDescriptor({SIGTERM, SIGINT, SIGHUP});
    QCoreApplication::setEventDispatcher(new net::EventDispatcher);
    QCoreApplication application{argc, argv};
    sidecar::Sidecar sidecar{*settings, [] {
                                 QCoreApplication::quit();
                             }};
    const auto reload = [&sidecar, settingsPath] {
        if (const std::optional<settings::SidecarSettings> changed = internal::readSidecarSettings(settingsPath)) {
            sidecar.reload(*changed);
        }
    };
    QSocketNotifier notifier{signalDescriptor, QSocketNotifier::Read};
    QObject::connect(&notifier, &QSocketNotifier::activated, &application, [&sidecar, signalDescriptor, reload] {
        signalfd_siginfo info{};
        static_cast<void>(::read(signalDescriptor, &info, sizeof info));
        if (info.ssi_signo != SIGHUP) {
            sidecar.drain();
            return;
        }
        reload();
    });
    // The settings file may change without a SIGHUP, so its modification time is polled.
    QDateTime readAt = QFileInfo{QString::fromStdString(settingsPath)}.lastModified();
    QTimer watch;
    watch.setInterval(internal::watchInterval);
    QObject::connect(&watch, &QTimer::timeout, &application, [&readAt, reload, settingsPath] {
        const QDateTime changedAt = QFileInfo{QString::fromStdString(settingsPath)}.lastModified();
        if (changedAt != readAt) {
            readAt = changedAt;
            reload();
        }
    });
    watch.start();
    const Result<void> started = sidecar.start();
    if (!started.has_value()) {
        fmt::print(stderr, "egretlatch: {}\n", started.error().message);
        return ExitCode::unavailable;
    }
    return QCoreApplication::exec();
}

} // namespace egretlatch::cli
