/** \file
 * One TCP connection between two instances, used by both sides. Frames are Thrift messages behind a length. A side that
 * has nothing to say sends empty frames, and one that hears nothing for a while closes the connection: a partition shows
 * as silence, not as a reset.
 */
#pragma once

#include "base/Time.h"
#include "net/Task.h"
#include "net/Timer.h"
#include "peer/FrameIo.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace HickoryHollow::Wire {
class LinkMessage;
}

namespace HickoryHollow {

struct LinkOptions {
    Duration keepAlive = std::chrono::milliseconds(500); ///< Longest pause between two frames.
    Duration silenceLimit = std::chrono::milliseconds(1600); ///< Silence after which the peer is out of reach.
    std::size_t maxQueuedBytes = 16UL << 20U; ///< A peer that reads slower loses the connection.
};

class Link : public std::enable_shared_from_this<Link> {
public:
    using OnMessage = std::function<void(const Wire::LinkMessage&)>;
    using OnClosed = std::function<void()>;

    Link(PeerSocket&&, const LinkOptions&);

    /** Starts reading and writing. `closed` is called once, after the last message. Call on the socket's loop. */
    void start(OnMessage, OnClosed closed);
    void send(const Wire::LinkMessage&);
    /** Queues a frame made by encodeFrame(), so that one encoding serves many links. */
    void sendFrame(const std::string& frame);
    void close();
    bool isOpen() const { return m_isOpen; }

private:
    Task<void> readLoop();
    Task<void> writeLoop();
    void finish();

    PeerSocket m_socket;
    LinkOptions m_options;
    Timer m_wake; // Cancelled when something was queued.
    OnMessage m_onMessage;
    OnClosed m_onClosed; // Empty once it was called.
    std::string m_queued; // Frames that are not handed to the socket yet.
    TimePoint m_heardAt {};
    bool m_isOpen = true;
    bool m_isWriting = false;
};

/** Dials an address and hands out the link, not started yet; an error after `timeout` at the latest. */
Task<std::error_code> dialLink(asio::io_context&, const std::string& address, Duration timeout, const LinkOptions&, std::shared_ptr<Link>&);

} // namespace HickoryHollow
