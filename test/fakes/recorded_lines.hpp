#ifndef TEST_FAKES_RECORDED_LINES_HPP
#define TEST_FAKES_RECORDED_LINES_HPP

#include <string>
#include <string_view>
#include <vector>

#include <egretlatch/core/log_sink.hpp>

namespace fakes
{

/*! @brief Log sink that keeps the lines. */
class RecordedLines final : public egretlatch::LogSink
{
public:
    void write(std::string_view /*event*/, const std::string &line) override
    {
        lines.push_back(line);
    }

    std::vector<std::string> lines;
};

} // namespace fakes

#endif
