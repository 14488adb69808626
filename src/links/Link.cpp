#include "links/Link.h"

#include "base/LogEvent.h"
#include "net/Endpoint.h"
#include "wire/ThriftCodec.h"
#include "wire/gen/hickoryhollow_types.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>

namespace HickoryHollow {

namespace {

constexpr std::size_t maxWriteBytes = 64UL << 10U; // Frames up to this size together are passed to the socket in one call.

} // namespace

SharedFrame makeSharedFrame(const Wire::LinkMessage& message)
{
    return std::make_shared<const std::string>(encodeFrame(encodeThrift(message)));
}

Link::Link(PeerSocket&& socket, const LinkOptions& options)
    : m_socket(std::move(socket))
    , m_options(options)
    , m_wake(m_socket.get_executor())
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    // Makes a write into a partition fail within the silence limit, even if no read is pending.
    const int unacknowledgedMilliseconds = static_cast<int>(options.silenceLimit / std::chrono::milliseconds(1));
    ::setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedMilliseconds, sizeof(unacknowledgedMilliseconds));
}

void Link::start(OnMessage message, OnClosed closed)
{
    m_onMessage = std::move(message);
    m_onClosed = std::move(closed);
    m_lastReceivedAt = monotonicNow();
    asio::co_spawn(m_socket.get_executor(), readLoop(), asio::detached);
    asio::co_spawn(m_socket.get_executor(), writeLoop(), asio::detached);
}

void Link::send(const Wire::LinkMessage& message)
{
    sendFrame(makeSharedFrame(message));
}

void Link::sendFrame(SharedFrame frame)
{
    if (!m_isOpen)
        return;
    m_queue.push(std::move(frame));
    if (m_queue.queuedBytes() > m_options.maxQueuedBytes)
        close();
    else
        wakeWriter();
}

void Link::sendLatest(LinkSubject subject, FrameSource source)
{
    if (!m_isOpen)
        return;
    m_queue.pushLatest(subject, std::move(source));
    wakeWriter();
}

void Link::wakeWriter()
{
    if (!m_isWriting)
        m_wake.cancel();
}

void Link::close()
{
    m_isOpen = false;
    m_queue = {};
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_wake.cancel();
}

void Link::finish()
{
    close();
    if (const auto closed = std::exchange(m_onClosed, {}))
        closed();
    m_onMessage = {};
}

Task<void> Link::readLoop()
{
    const auto self = shared_from_this();
    std::string payload;
    while (m_isOpen) {
        const auto ec = co_await readFrameFrom(m_socket, payload, m_maxFrameBytes);
        if (ec == std::errc::message_size)
            logEvent(LogEvent::FrameRefused, "limit={}", m_maxFrameBytes);
        if (ec)
            break;
        m_lastReceivedAt = monotonicNow();
        if (payload.empty())
            continue;
        const auto message = decodeThrift<Wire::LinkMessage>(payload);
        if (!message || !m_isOpen)
            break;
        m_onMessage(*message);
    }
    finish();
}

Task<void> Link::writeLoop()
{
    const auto self = shared_from_this();
    const auto keepAliveFrame = std::make_shared<const std::string>(encodeFrame({}));
    while (m_isOpen) {
        if (m_queue.isEmpty()) {
            m_wake.expires_after(m_options.keepAliveInterval);
            const auto [ec] = co_await m_wake.async_wait(asTuple);
            if (!ec && monotonicNow() - m_lastReceivedAt > m_options.silenceLimit)
                break;
        }
        if (!m_isOpen)
            break;
        auto frames = m_queue.take(maxWriteBytes);
        if (frames.empty())
            frames.push_back(keepAliveFrame);
        std::vector<asio::const_buffer> buffers;
        buffers.reserve(frames.size());
        for (const auto& it : frames)
            buffers.push_back(asio::buffer(*it));
        m_isWriting = true;
        const auto [ec, n] = co_await asio::async_write(m_socket, buffers, asTuple);
        m_isWriting = false;
        if (ec || monotonicNow() - m_lastReceivedAt > m_options.silenceLimit)
            break;
    }
    close();
}

Task<std::error_code> dialLink(asio::io_context& loop, const std::string& address, Duration timeout, const LinkOptions& options, std::shared_ptr<Link>& link)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        co_return std::make_error_code(std::errc::invalid_argument);
    const auto socket = std::make_shared<PeerSocket>(loop.get_executor());
    Timer timer(loop.get_executor(), timeout);
    timer.async_wait([socket](const boost::system::error_code& ec) {
        boost::system::error_code ignored;
        if (!ec)
            socket->close(ignored);
    });
    const auto [ec] = co_await socket->async_connect(*endpoint, asTuple);
    const auto isInTime = timer.cancel() > 0;
    if (ec || !isInTime)
        co_return ec ? std::error_code(ec) : std::make_error_code(std::errc::timed_out);
    link = std::make_shared<Link>(std::move(*socket), options);
    co_return std::error_code();
}

} // namespace HickoryHollow
