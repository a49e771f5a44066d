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
 * @brief Bounded single-producer, single-consumer queue between two threads.
 *
 * Values are stored by pointer, since the underlying queue copies its elements.
 * @tparam Type Type of the values.
 */
template<typename Type>
class Ring
{
public:
    /**
     * @brief Constructs an empty ring.
     * @param capacity Maximum number of values.
     * @param waker Wakes the consumer thread; must outlive the ring.
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
     * @brief Appends a value and wakes the consumer.
     * @param value The value.
     * @return False if the ring was full; the value is then dropped, and the caller has to treat it as shed load.
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
     * @brief Removes the oldest value.
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
