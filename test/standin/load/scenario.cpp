#include <doctest/doctest.h>

#include <QDir>
#include <QFile>

#include <load/scenario.hpp>

using standin::load::parseScenario;

TEST_CASE("scenario: all problems of a document are reported at once")
{
    const auto scenario = parseScenario(R"({"name": "x", "kinds": [{"service": "a"}], "phases": [], "typo": 1})");
    REQUIRE_FALSE(scenario.has_value());
    CHECK(scenario.error().size() == 3);
}

TEST_CASE("scenario: all committed scenarios are valid")
{
    const QDir folder{QStringLiteral(EGRETLATCH_SOURCE_FOLDER "/scenarios")};
    const QStringList names = folder.entryList({QStringLiteral("*.json")});
    CHECK_FALSE(names.isEmpty());
    for (const QString &name : names) {
        CAPTURE(name.toStdString());
        QFile file{folder.filePath(name)};
        REQUIRE(file.open(QIODevice::ReadOnly));
        CHECK(parseScenario(file.readAll()).has_value());
    }
}
