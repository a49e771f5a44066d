#include <doctest/doctest.h>

#include <QJsonArray>
#include <QJsonDocument>

#include <egretlatch/cli/exit_code.hpp>
#include <egretlatch/cli/loss_table.hpp>

using namespace egretlatch::cli;

namespace
{

[[nodiscard]] QByteArray refused(const char *const time, const char *const kind, const char *const worth, const int depth)
{
    return QByteArray{R"(stamp {"time":"2026-12-02T10:00:)"} + time + R"(Z","event":"refused","source":"a-1","request":"r","depth":")"
        + QByteArray::number(depth) + R"(","service":"roster","kind":")" + kind + R"(","worth":")" + worth + R"(","reason":"overload-at-entry","server":""})"
        + '\n';
}

} // namespace

TEST_CASE("losses are summed by interval, kind and reason, with the greatest worth of an interval first")
{
    LossTable table{std::chrono::seconds{10}};
    table.read(refused("01.000", "read", "1", 0) + refused("09.999", "read", "1", 0) + refused("05.000", "entry", "3", 0) + refused("10.000", "read", "1", 0));

    const CommandResult result = table.asText();

    CHECK(result.code == ExitCode::success);
    const auto entry = result.text.find("2026-12-02T10:00:00Z        1      3.0  roster/entry");
    const auto read = result.text.find("2026-12-02T10:00:00Z        2      2.0  roster/read");
    const auto later = result.text.find("2026-12-02T10:00:10Z        1      1.0  roster/read");
    CHECK(entry != std::string::npos);
    CHECK(read != std::string::npos);
    CHECK(later != std::string::npos);
    CHECK(entry < read);
    CHECK(read < later);
}

TEST_CASE("inner calls are not counted as losses, and missing and unreadable lines are reported")
{
    LossTable table{std::chrono::seconds{10}};
    table.read(refused("01.000", "winch", "1", 2));
    table.read(R"({"event":"lines left out","of":"refused","count":"7"})"
               "\n"
               "no line\n"
               R"({"event":"sent again","request":"r"})"
               "\n");

    const QJsonObject document = QJsonDocument::fromJson(QByteArray::fromStdString(table.asJson().text)).object();

    CHECK(document[u"losses"].toArray().isEmpty());
    CHECK(document[u"linesLeftOut"].toInt() == 7);
    CHECK(document[u"linesUnreadable"].toInt() == 1);
    CHECK(table.asText().text.find("7 lines were left out") != std::string::npos);
}
