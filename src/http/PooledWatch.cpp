#include "http/PooledWatch.h"

#include "http/ConnectionPool.h"

namespace HickoryHollow {

PooledWatch::PooledWatch(std::weak_ptr<ConnectionPool> pool, std::string address, std::shared_ptr<ServerConnection> connection)
    : m_pool(std::move(pool))
    , m_address(std::move(address))
    , m_connection(std::move(connection))
    , m_isOpen(m_connection->stream.socket().is_open())
{
}

PooledWatch::~PooledWatch()
{
    const auto pool = m_pool.lock();
    if (pool && m_isOpen && !hasEnded())
        pool->giveBack(m_address, std::move(m_connection));
}

std::optional<TimePoint> PooledWatch::runsSince() const
{
    return m_isOpen ? std::optional(m_connection->serverRunsSince) : std::nullopt;
}

bool PooledWatch::hasEnded() const
{
    return m_hasFailed || (m_isOpen && !isOpenAtBothSides(*m_connection));
}

bool PooledWatch::wasReset() const
{
    return m_isOpen && isReset(*m_connection);
}

bool PooledWatch::isFresh(TimePoint now) const
{
    return !m_isOpen || now - m_connection->idleSince < m_connection->serverIdleTimeout;
}

void PooledWatch::setOpened(bool isOpen)
{
    m_isOpen = isOpen;
    m_hasFailed = !isOpen;
}

} // namespace HickoryHollow
