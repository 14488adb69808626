/** \file
 * Library that the soak preloads into an entry instance. It leads the instance's connections to backend servers through
 * proxies of its own, as all instances know one address of each server: addresses that begin with SOAK_SERVERS begin with
 * SOAK_PATH instead. Both hold the first three numbers of an IPv4 address, as in `127.20.5`.
 */
#include <arpa/inet.h>
#include <cstdlib>
#include <cstring>
#include <dlfcn.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>

namespace {

constexpr in_addr_t hostBits = 0xff;

in_addr_t networkFrom(const char* variable)
{
    const auto* text = std::getenv(variable);
    return text ? ntohl(::inet_addr((std::string(text) + ".0").c_str())) : INADDR_NONE;
}

} // namespace

extern "C" int connect(int socket, const sockaddr* address, socklen_t length)
{
    static const auto next = reinterpret_cast<decltype(&connect)>(::dlsym(RTLD_NEXT, "connect"));
    static const auto servers = networkFrom("SOAK_SERVERS");
    static const auto path = networkFrom("SOAK_PATH");
    if (address->sa_family != AF_INET || length < sizeof(sockaddr_in))
        return next(socket, address, length);
    sockaddr_in target {};
    std::memcpy(&target, address, sizeof(target));
    const auto host = ntohl(target.sin_addr.s_addr);
    if ((host & ~hostBits) == servers)
        target.sin_addr.s_addr = htonl(path | (host & hostBits));
    return next(socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
}
