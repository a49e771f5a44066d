#ifndef EGRETLATCH_CORE_WAKER_HPP
#define EGRETLATCH_CORE_WAKER_HPP

namespace egretlatch
{

/*! @brief Tells a thread that one of its rings has something in it. */
class Waker
{
public:
    virtual ~Waker() = default;

    /*! @brief Wakes the thread; may be called from any thread, and more often than needed. */
    virtual void wake() = 0;
};

} // namespace egretlatch

#endif
