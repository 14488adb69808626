#include "net/LostHost.h"

#include <algorithm>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
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

void setUserTimeout(int socket, std::chrono::milliseconds timeout)
{
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(timeout.count()));
}

void setLostHostLimits(int socket, const LostHostLimits& limits)
{
    const auto interval = static_cast<int>(limits.probeInterval.count());
    setUserTimeout(socket, limits.userTimeout);
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, interval);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, interval);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, probesToLose);
}

bool awaitsRoom(int socket)
{
    int queued = 0;
    tcp_info info {};
    socklen_t size = sizeof(info);
    return ::ioctl(socket, SIOCOUTQ, &queued) == 0 && queued > 0 && ::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && info.tcpi_unacked == 0;
}

} // namespace HickoryHollow
