#include <egretlatch/cli/qt_message_log.hpp>

#include <atomic>

#include <QString>

namespace egretlatch::cli
{

namespace internal
{

// Qt passes no context to its message handler.
static std::atomic<const Logger *> messageLogger{};

[[nodiscard]] static LogLevel levelOf(const QtMsgType type)
{
    switch (type) {
    case QtDebugMsg:
        return LogLevel::debug;
    case QtInfoMsg:
        return LogLevel::info;
    case QtWarningMsg:
        return LogLevel::warning;
    case QtCriticalMsg:
    case QtFatalMsg:
        return LogLevel::error;
    }
    return LogLevel::error;
}

static void handleMessage(const QtMsgType type, const QMessageLogContext & /*context*/, const QString &message)
{
    if (const Logger *const logger = messageLogger.load()) {
        logger->log(levelOf(type), "message of Qt", {{"message", message.toStdString()}});
    }
}

} // namespace internal

QtMessageLog::QtMessageLog(const Logger &logger)
{
    internal::messageLogger.store(&logger);
    qInstallMessageHandler(internal::handleMessage);
}

QtMessageLog::~QtMessageLog()
{
    qInstallMessageHandler(nullptr);
    internal::messageLogger.store(nullptr);
}

} // namespace egretlatch::cli
