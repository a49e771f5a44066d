#include "mutator.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace fuzz
{

namespace
{

constexpr std::size_t maxChanges = 6;
// Above 64 KB, the longest field that the HTTP parser can store.
constexpr std::size_t longRun = 70'000;
constexpr std::array<std::string_view, 12> pieces{"\r\n",
                                                  "\r\n\r\n",
                                                  "0\r\n",
                                                  "\0",
                                                  "Transfer-Encoding: chunked\r\n",
                                                  "Content-Length: 99999999999999999999\r\n",
                                                  "\xff\xfe",
                                                  "{\"a\":",
                                                  "]]",
                                                  "-1",
                                                  "1e400",
                                                  "\xf0\x9f\x98\x80"};

} // namespace

Mutator::Mutator(std::vector<std::string> corpus, const std::uint64_t seed)
    : m_corpus{std::move(corpus)}
    , m_random{seed}
{
}

std::size_t Mutator::below(const std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>{0, bound - 1}(m_random);
}

std::string Mutator::next()
{
    std::string text = m_corpus[below(m_corpus.size())];
    const std::size_t changes = below(maxChanges + 1);
    for (std::size_t number = 0; number < changes; ++number) {
        change(text);
    }
    return text;
}

void Mutator::change(std::string &text)
{
    const std::size_t place = below(text.size() + 1);
    const std::size_t length = below(16);
    switch (below(8)) {
    case 0:
        if (place < text.size()) {
            text[place] = static_cast<char>(below(256));
        }
        break;
    case 1:
        text.erase(place, length);
        break;
    case 2:
        text.insert(place, pieces[below(pieces.size())]);
        break;
    case 3:
        text.insert(place, text.substr(below(text.size() + 1), length * 4));
        break;
    case 4: {
        const std::string &other = m_corpus[below(m_corpus.size())];
        text = text.substr(0, place) + other.substr(below(other.size() + 1));
        break;
    }
    case 5:
        text.resize(place);
        break;
    case 6:
        text.insert(place, below(20) == 0 ? longRun : length, static_cast<char>(below(256)));
        break;
    default:
        text.push_back(static_cast<char>(below(256)));
        break;
    }
}

} // namespace fuzz
