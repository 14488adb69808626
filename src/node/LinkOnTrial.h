/** \file
 * A link to a state instance that may replace the present link of a StateFeed. The present link stays in use until the instance at the
 * other end has confirmed the configuration: one that is frozen or cut off accepts connections as well.
 */
#pragma once

#include "base/Time.h"
#include "links/Link.h"
#include "net/Task.h"
#include "net/Timer.h"
#include "wire/gen/hickoryhollow_types.h"

#include <functional>
#include <memory>
#include <vector>

namespace HickoryHollow {

class LinkOnTrial : public std::enable_shared_from_this<LinkOnTrial> {
public:
    LinkOnTrial(asio::io_context&, std::shared_ptr<Link>);

    /**
     * Starts the link, greets, and asks for a confirmation. Returns true if it was given within `timeout`; otherwise the link is
     * closed. Messages that arrive until take() are kept.
     */
    Task<bool> run(const Wire::LinkMessage& hello, const Wire::LinkMessage& poll, Duration timeout);
    /**
     * Returns the link. Calls `message` with each message that was kept, in their order and before it returns, and with each one that
     * follows. `closed` is called if the link closes from now on.
     */
    std::shared_ptr<Link> take(Link::OnMessage message, Link::OnClosed closed);
    bool isOpen() const { return m_link->isOpen(); }

private:
    void receive(const Wire::LinkMessage&);

    std::shared_ptr<Link> m_link;
    Timer m_ended; // Expires at the end of the trial, and is cancelled as soon as its result is known.
    bool m_hasReply = false;
    bool m_isConfirmed = false;
    std::vector<Wire::LinkMessage> m_kept; // Records, limits and findings are sent once to each link.
    Link::OnMessage m_onMessage; // Empty until take().
    Link::OnClosed m_onClosed; // Empty until take().
};

} // namespace HickoryHollow
