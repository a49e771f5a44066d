#ifndef EGRETLATCH_CLI_SIGNAL_DESCRIPTOR_HPP
#define EGRETLATCH_CLI_SIGNAL_DESCRIPTOR_HPP

#include <csignal>
#include <initializer_list>

#include <sys/signalfd.h>

namespace egretlatch::cli
{

/**
 * @brief Blocks signals and opens a descriptor from which the main thread reads them; a signal handler may call hardly any
 * function.
 *
 * Must be called before any thread starts, so that all threads inherit the signal mask and none is interrupted.
 * @param signals The signals.
 * @return A non-blocking descriptor.
 */
[[nodiscard]] inline int openSignalDescriptor(const std::initializer_list<int> signals)
{
    sigset_t signalSet;
    sigemptyset(&signalSet);
    for (const int signal : signals) {
        sigaddset(&signalSet, signal);
    }
    pthread_sigmask(SIG_BLOCK, &signalSet, nullptr);
    return signalfd(-1, &signalSet, SFD_NONBLOCK | SFD_CLOEXEC);
}

} // namespace egretlatch::cli

#endif
