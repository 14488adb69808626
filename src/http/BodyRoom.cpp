#include "http/BodyRoom.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

// Of the room, for one owner. The rest serves the others while that owner's bodies arrive slowly or wait for a server.
constexpr double ownerShare = 0.8;

} // namespace

std::size_t BodyRoom::heldBy(const std::string& owner) const
{
    const auto it = m_held.find(owner);
    return it == m_held.end() ? 0 : it->second;
}

// A body is never too large for its owner's share: where it does not fit, it goes alone.
bool BodyRoom::isOverShare(std::size_t size, const std::string& owner) const
{
    const auto held = heldBy(owner);
    return held > 0 && static_cast<double>(held + size) > ownerShare * static_cast<double>(m_bytes);
}

bool BodyRoom::fits(std::size_t size) const
{
    return m_used == 0 || m_used + size <= m_bytes;
}

void BodyRoom::take(std::size_t size, const std::string& owner)
{
    m_used += size;
    m_held[owner] += size;
}

bool BodyRoom::tryTake(std::size_t size, const std::string& owner)
{
    for (const auto& [id, waiter] : m_waiters) {
        if (!isOverShare(waiter.size, waiter.owner))
            return false;
    }
    if (isOverShare(size, owner) || !fits(size))
        return false;
    take(size, owner);
    return true;
}

std::optional<BodyRoom::WaiterId> BodyRoom::wait(std::size_t size, const std::string& owner)
{
    const auto ofOwner = static_cast<std::size_t>(std::count_if(m_waiters.begin(), m_waiters.end(), [&owner](const auto& it) { return it.second.owner == owner; }));
    if (m_waiters.size() >= m_maxWaiting || ofOwner * 2 >= std::max<std::size_t>(m_maxWaiting, 2))
        return std::nullopt;
    m_waiters.emplace(++m_lastWaiter, Waiter { .size = size, .owner = owner });
    return m_lastWaiter;
}

std::vector<BodyRoom::WaiterId> BodyRoom::cancel(WaiterId id)
{
    m_waiters.erase(id);
    return grantWaiting();
}

std::vector<BodyRoom::WaiterId> BodyRoom::release(std::size_t size, const std::string& owner)
{
    m_used -= size;
    const auto it = m_held.find(owner);
    it->second -= size;
    if (it->second == 0)
        m_held.erase(it);
    return grantWaiting();
}

// The owner that holds least goes first, then the order of arrival. The first in this order is not overtaken by smaller bodies,
// which could keep it out for ever.
std::vector<BodyRoom::WaiterId> BodyRoom::grantWaiting()
{
    std::vector<WaiterId> granted;
    for (;;) {
        auto first = m_waiters.end();
        for (auto it = m_waiters.begin(); it != m_waiters.end(); ++it) {
            if (!isOverShare(it->second.size, it->second.owner) && (first == m_waiters.end() || heldBy(it->second.owner) < heldBy(first->second.owner)))
                first = it;
        }
        if (first == m_waiters.end() || !fits(first->second.size))
            return granted;
        take(first->second.size, first->second.owner);
        granted.push_back(first->first);
        m_waiters.erase(first);
    }
}

} // namespace HickoryHollow
