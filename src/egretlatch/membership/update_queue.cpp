#include <egretlatch/membership/update_queue.hpp>

#include <algorithm>

namespace egretlatch::membership
{

void UpdateQueue::add(const UpdateSubject &subject, const int sends)
{
    m_sendsLeft.insert_or_assign(subject, sends);
}

std::vector<UpdateSubject> UpdateQueue::take(const std::size_t limit)
{
    using Item = std::map<UpdateSubject, int>::iterator;
    std::vector<Item> items;
    items.reserve(m_sendsLeft.size());
    for (auto item = m_sendsLeft.begin(); item != m_sendsLeft.end(); ++item) {
        items.push_back(item);
    }
    const std::size_t chosen = std::min(items.size(), limit);
    std::partial_sort(items.begin(), items.begin() + static_cast<std::ptrdiff_t>(chosen), items.end(), [](const Item left, const Item right) {
        return left->second != right->second ? left->second > right->second : left->first < right->first;
    });
    items.resize(chosen);
    std::vector<UpdateSubject> subjects;
    for (const Item item : items) {
        subjects.push_back(item->first);
        --item->second;
        if (item->second <= 0) {
            m_sendsLeft.erase(item);
        }
    }
    return subjects;
}

} // namespace egretlatch::membership
