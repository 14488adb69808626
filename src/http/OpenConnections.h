/** \file
 * The open connections to each server, as evidence that its process has not ended: the kernel of its host ends all connections of a
 * process with it. Answers for servers that start again under their address before they announce themselves. Part of UpstreamClient.
 */
#pragma once

#include "base/Time.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace HickoryHollow {

struct ServerConnection;

/** True unless one of both sides has ended the connection. Bytes that wait to be read may have been sent before an end. */
bool isOpenAtBothSides(ServerConnection&);
/** True if the other side has reset the connection, as servers do that have no room for one. The end of a process is orderly, unless a request was unread. */
bool isReset(ServerConnection&);

class OpenConnections {
public:
    /** Adds a connection that has just been opened and sets its `serverRunsSince`. */
    void add(const std::string& address, const std::shared_ptr<ServerConnection>&, TimePoint now);
    /**
     * Time since which the process at that address has run without an end, by the connections that are open now; nothing if there
     * are none. It may have run for longer.
     */
    std::optional<TimePoint> runsSince(const std::string& address) const;

private:
    std::unordered_map<std::string, std::vector<std::weak_ptr<ServerConnection>>> m_connections; // By address; some have been closed since.
};

} // namespace HickoryHollow
