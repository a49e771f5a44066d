#ifndef EGRETLATCH_CORE_RING_HPP
#define EGRETLATCH_CORE_RING_HPP

#include <cstddef>
#include <memory>
#include <utility>

#include <boost/lockfree/spsc_queue.hpp>

#include <egretlatch/core/waker.hpp>

namespace egretlatch
{

/**
 * @brief A bounded queue from one thread to one other.
 *
 * Values travel behind a pointer, since the queue beneath copies what it holds.
 * @tparam Type Type of the values.
 */
template<typename Type>
class Ring
{
public:
    /**
     * @brief Builds a ring.
     * @param capacity Number of values that it holds at most.
     * @param waker Wakes the reading thread; must outlive the ring.
     */
    Ring(const std::size_t capacity, Waker &waker)
        : m_queue{capacity}
        , m_waker{waker}
    {
    }

    Ring(const Ring &) = delete;
    Ring &operator=(const Ring &) = delete;

    ~Ring()
    {
        while (tryPop() != nullptr) { }
    }

    /**
     * @brief Adds a value and wakes the reader.
     * @param value The value to hand over.
     * @return False if the ring was full; the value is gone then, and the caller sheds it.
     */
    [[nodiscard]] bool tryPush(Type value)
    {
        auto item = std::make_unique<Type>(std::move(value));
        if (!m_queue.push(item.get())) {
            return false;
        }
        static_cast<void>(item.release());
        m_waker.wake();
        return true;
    }

    /**
     * @brief Takes the oldest value.
     * @return The value, or null if the ring is empty.
     */
    [[nodiscard]] std::unique_ptr<Type> tryPop()
    {
        Type *item = nullptr;
        m_queue.pop(item);
        return std::unique_ptr<Type>{item};
    }

private:
    boost::lockfree::spsc_queue<Type *> m_queue;
    Waker &m_waker;
};

} // namespace egretlatch

#endif
