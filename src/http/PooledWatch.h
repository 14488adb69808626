/** \file
 * The ServerWatch of a ConnectionPool. Its connection comes from the pool, or is opened for it, and goes to the pool with its end.
 */
#pragma once

#include "http/ServerWatch.h"

#include <memory>
#include <string>

namespace HickoryHollow {

class ConnectionPool;
struct ServerConnection;

class PooledWatch final : public ServerWatch {
public:
    /** Watches by an open connection that was idle. */
    PooledWatch(std::weak_ptr<ConnectionPool>, std::string address, std::shared_ptr<ServerConnection>);
    ~PooledWatch() override;
    PooledWatch(const PooledWatch&) = delete;
    PooledWatch& operator=(const PooledWatch&) = delete;

    std::optional<TimePoint> runsSince() const override;
    bool hasEnded() const override;
    bool wasReset() const override;
    /** False if the server may close the connection soon because it is idle. */
    bool isFresh(TimePoint now) const;
    /** The connection has been opened, or could not be. Call once for a watch that was made with a closed one. */
    void setOpened(bool isOpen);

private:
    std::weak_ptr<ConnectionPool> m_pool; // May end first.
    std::string m_address;
    std::shared_ptr<ServerConnection> m_connection; // Never null.
    bool m_isOpen;
    bool m_hasFailed = false;
};

} // namespace HickoryHollow
