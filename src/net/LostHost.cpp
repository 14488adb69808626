#include "net/LostHost.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace HickoryHollow {

namespace {

constexpr int probesToLose = 2; // A working link may lose a single probe.
constexpr std::chrono::milliseconds timerSlack { 250 }; // The kernel compares times at its own timers, which may be a little late.

void setOption(int socket, int level, int name, int value)
{
    ::setsockopt(socket, level, name, &value, sizeof(value));
}

} // namespace

// The kernel gives up at the first timer of a probe after the user timeout at which a probe is unanswered. So the timer that would
// send the last probe must come before the user timeout.
LostHostLimits lostHostLimits(Duration silence)
{
    using namespace std::chrono;
    const auto whole = duration_cast<milliseconds>(silence);
    const auto interval = std::max(seconds(1), floor<seconds>((whole - timerSlack) / probesToLose));
    return { .userTimeout = std::max(whole, probesToLose * duration_cast<milliseconds>(interval) + timerSlack), .probeInterval = interval };
}

void setLostHostLimits(int socket, const LostHostLimits& limits)
{
    const auto interval = static_cast<int>(limits.probeInterval.count());
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limits.userTimeout.count()));
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, interval);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, interval);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, probesToLose);
}

} // namespace HickoryHollow
