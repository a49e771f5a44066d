#include <doctest/doctest.h>

#include <QDebug>

#include <fakes/recorded_lines.hpp>

#include <egretlatch/cli/qt_message_log.hpp>

using namespace egretlatch;

TEST_CASE("a message of Qt is a line of the log at its level")
{
    // Guards against lines in a daemon's log that are not JSON, which end a program that reads it.
    fakes::RecordedLines sink;
    const Logger logger{LogLevel::info, "self", sink};
    {
        const cli::QtMessageLog messages{logger};
        qWarning("a \"quoted\" text");
        qCritical("a failure");
        qDebug("below the level");
    }
    REQUIRE(sink.lines.size() == 2);
    CHECK(sink.lines[0].find(R"("level":"warning","source":"self","event":"message of Qt","message":"a \"quoted\" text"})") != std::string::npos);
    CHECK(sink.lines[1].find(R"("level":"error")") != std::string::npos);
}
