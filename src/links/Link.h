/** \file
 * A TCP connection between two instances that carries length-prefixed Thrift messages in both directions. An idle side
 * sends empty keep-alive frames, and a side that receives nothing for LinkOptions::silenceLimit closes the connection,
 * because a network partition causes silence rather than a reset.
 */
#pragma once

#include "base/Time.h"
#include "links/LinkQueue.h"
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

/** Encodes a message for Link::sendFrame() or a FrameSource, so that one to many links is encoded once. */
SharedFrame makeSharedFrame(const Wire::LinkMessage&);

struct LinkOptions {
    Duration keepAliveInterval = std::chrono::milliseconds(500); ///< An empty frame is sent after this time without another.
    /** The link closes if no frame arrives, or sent bytes stay unacknowledged, for longer. */
    Duration silenceLimit = std::chrono::milliseconds(1600);
    /** The link closes if frames of more bytes are queued for writing, because its peer reads too slowly. */
    std::size_t maxQueuedBytes = 16UL << 20U;
};

/** One end of a connection. Not thread-safe: all functions and callbacks run on the socket's event loop. */
class Link : public std::enable_shared_from_this<Link> {
public:
    using OnMessage = std::function<void(const Wire::LinkMessage&)>;
    using OnClosed = std::function<void()>;

    Link(PeerSocket&&, const LinkOptions&);

    /** Starts reading and writing. `closed` is called exactly once, after the last message. */
    void start(OnMessage, OnClosed closed);
    /** Queues a message; drops it if the link is closed. */
    void send(const Wire::LinkMessage&);
    /** Queues a frame made by makeSharedFrame(). */
    void sendFrame(SharedFrame);
    /** Sends the newest state of a subject once the link is free; see LinkQueue::pushLatest(). */
    void sendLatest(LinkSubject, FrameSource);
    /** Closes the socket and discards queued messages. `closed` follows asynchronously. */
    void close();
    bool isOpen() const { return m_isOpen; }
    /** Sets the largest frame that is read; the link closes if a larger one begins. */
    void setMaxFrameBytes(std::size_t n) { m_maxFrameBytes = n; }

private:
    Task<void> readLoop();
    Task<void> writeLoop();
    void finish();
    void wakeWriter();

    PeerSocket m_socket;
    LinkOptions m_options;
    Timer m_wake; // Keep-alive timer; cancelled to write sooner, or to end the write loop.
    OnMessage m_onMessage;
    OnClosed m_onClosed; // Empty after its call.
    LinkQueue m_queue; // Frames that have not been passed to the socket.
    TimePoint m_lastReceivedAt {}; // Time of the last complete frame, empty ones included.
    std::size_t m_maxFrameBytes = maxFrameBytes;
    bool m_isOpen = true;
    bool m_isWriting = false;
};

/**
 * Connects to `ip:port` and returns the link, not started yet, in the last parameter. Returns invalid_argument for a
 * malformed address, and another error if no connection is established within `timeout`.
 */
Task<std::error_code> dialLink(asio::io_context&, const std::string& address, Duration timeout, const LinkOptions&, std::shared_ptr<Link>&);

} // namespace HickoryHollow
