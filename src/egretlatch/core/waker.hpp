#ifndef EGRETLATCH_CORE_WAKER_HPP
#define EGRETLATCH_CORE_WAKER_HPP

namespace egretlatch
{

/*! @brief Notifies a thread that one of its rings is not empty. */
class Waker
{
public:
    virtual ~Waker() = default;

    /*! @brief Wakes the thread; callable from any thread, redundant calls are harmless. */
    virtual void wake() = 0;
};

} // namespace egretlatch

#endif
