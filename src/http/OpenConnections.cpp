#include "http/OpenConnections.h"

#include "http/ConnectionPool.h"

#include <poll.h>

namespace HickoryHollow {

namespace {

/** What poll() says of the ends of an open connection; 0 if there are none. */
int endsOf(ServerConnection& connection)
{
    pollfd polled { .fd = connection.stream.socket().native_handle(), .events = POLLRDHUP, .revents = 0 };
    return ::poll(&polled, 1, 0) == 0 ? 0 : polled.revents;
}

} // namespace

bool isOpenAtBothSides(ServerConnection& connection)
{
    return connection.stream.socket().is_open() && endsOf(connection) == 0;
}

bool isReset(ServerConnection& connection)
{
    return connection.stream.socket().is_open() && (endsOf(connection) & POLLERR) != 0;
}

void OpenConnections::add(const std::string& address, const std::shared_ptr<ServerConnection>& connection, TimePoint now)
{
    // A process that still runs has accepted, or will accept, the new connection too.
    connection->serverRunsSince = runsSince(address).value_or(now);
    auto& connections = m_connections[address];
    std::erase_if(connections, [](const auto& it) { return it.expired(); });
    connections.push_back(connection);
}

std::optional<TimePoint> OpenConnections::runsSince(const std::string& address) const
{
    const auto found = m_connections.find(address);
    if (found == m_connections.end())
        return std::nullopt;
    for (const auto& it : found->second) {
        const auto connection = it.lock();
        if (connection && isOpenAtBothSides(*connection))
            return connection->serverRunsSince;
    }
    return std::nullopt;
}

} // namespace HickoryHollow
