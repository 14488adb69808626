#include "node/LinkOnTrial.h"

namespace HickoryHollow {

LinkOnTrial::LinkOnTrial(asio::io_context& loop, std::shared_ptr<Link> link)
    : m_link(std::move(link))
    , m_ended(loop.get_executor())
{
}

Task<bool> LinkOnTrial::run(const Wire::LinkMessage& hello, const Wire::LinkMessage& poll, Duration timeout)
{
    const auto self = shared_from_this();
    m_ended.expires_after(timeout);
    const auto weak = weak_from_this();
    const auto received = [weak](const auto& message) {
        if (const auto trial = weak.lock())
            trial->receive(message);
    };
    const auto closed = [weak] {
        const auto trial = weak.lock();
        if (!trial)
            return;
        trial->m_ended.cancel();
        if (trial->m_onClosed)
            trial->m_onClosed();
    };
    m_link->start(received, closed);
    m_link->send(hello);
    m_link->send(poll);
    while (m_link->isOpen() && !m_hasReply) {
        const auto [ec] = co_await m_ended.async_wait(asTuple);
        if (!ec)
            break;
    }
    if (!m_isConfirmed)
        m_link->close();
    co_return m_isConfirmed && m_link->isOpen();
}

std::shared_ptr<Link> LinkOnTrial::take(Link::OnMessage message, Link::OnClosed closed)
{
    for (const auto& it : std::exchange(m_kept, {}))
        message(it);
    m_onMessage = std::move(message);
    m_onClosed = std::move(closed);
    return m_link;
}

void LinkOnTrial::receive(const Wire::LinkMessage& message)
{
    if (m_onMessage)
        return m_onMessage(message);
    m_kept.push_back(message);
    if (!message.__isset.freshnessReply)
        return;
    m_hasReply = true;
    m_isConfirmed = message.freshnessReply.confirmed;
    m_ended.cancel();
}

} // namespace HickoryHollow
