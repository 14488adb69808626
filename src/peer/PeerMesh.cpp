#include "peer/PeerMesh.h"

#include "base/Digest.h"
#include "base/LogEvent.h"
#include "net/Endpoint.h"
#include "net/Listener.h"
#include "net/Timer.h"
#include "peer/FrameIo.h"
#include "peer/PeerProof.h"
#include "wire/Signed.h"
#include "wire/ThriftCodec.h"
#include "wire/gen/hickoryhollow_types.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <netinet/tcp.h>

namespace HickoryHollow {

namespace {

constexpr std::chrono::milliseconds redialInterval { 200 };
constexpr std::chrono::milliseconds handshakeTimeout { 2000 };
constexpr std::chrono::milliseconds keepAliveInterval { 300 };

void setOption(PeerSocket& socket, int level, int name, int value)
{
    ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

// After a partition no FIN or RST may arrive. Unacknowledged data or keep-alive probes then close the connection.
void setLinkOptions(PeerSocket& socket)
{
    constexpr int unacknowledgedTimeoutMs = 2000;
    constexpr int keepAliveIdleSeconds = 4;
    constexpr int probeIntervalSeconds = 2;
    constexpr int maxUnansweredProbes = 2;
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedTimeoutMs);
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, maxUnansweredProbes);
}

} // namespace

struct PeerMesh::State : std::enable_shared_from_this<PeerMesh::State> {
    /** The outgoing side to one peer: its connection, and the frames that wait to be sent. */
    struct Link {
        Link(asio::io_context& loop, PeerSettings peerSettings)
            : peer(std::move(peerSettings))
            , wake(loop.get_executor(), Timer::time_point::max())
        {
        }

        PeerSettings peer;
        Timer wake; // Cancelled when a frame is queued.
        std::deque<std::string> queue; // Frames to send; empty while not connected.
        std::size_t queuedBytes = 0; // Sum of the frame sizes in the queue.
        bool isConnected = false; // True from the sending of the Hello until a write fails.
        std::shared_ptr<PeerSocket> socket; // Of the current or the last attempt to connect.
    };

    /** The incoming side from one peer. */
    struct InboundPeer {
        TimePoint lastMessageAt {};
        Incarnation incarnation; // Highest authenticated one. A Hello of an earlier process is rejected.
    };

    State(asio::io_context& ioLoop, Options meshOptions, Handler messageHandler)
        : loop(ioLoop)
        , options(std::move(meshOptions))
        , handler(std::move(messageHandler))
    {
        for (const auto& it : options.peers)
            links.emplace(it.instance, std::make_unique<Link>(loop, it));
    }

    Task<void> acceptLoop(Acceptor);
    Task<void> serve(std::shared_ptr<PeerSocket>);
    Task<bool> authenticateDialer(PeerSocket&, InstanceId& from);
    Task<void> dialLoop(Link&);
    Task<bool> dial(Link&);
    Task<void> writeLoop(Link&);
    void enqueue(Link&, std::string frame);
    /** Closes the socket after the timeout unless `isDone` is set by then. */
    void closeUnlessDone(const std::shared_ptr<PeerSocket>&, std::chrono::milliseconds timeout, const std::shared_ptr<bool>& isDone);

    // Every member is used on the loop only, except bytesSent.
    asio::io_context& loop;
    Options options;
    Handler handler;
    std::function<void(const InstanceId&)> connectedCallback; // May be empty.
    std::map<InstanceId, std::unique_ptr<Link>> links;
    std::map<InstanceId, InboundPeer> inboundPeers;
    std::atomic<std::uint64_t> bytesSent = 0;
    bool isStopped = false; // Set by the destructor; the coroutines end at their next step.
};

void PeerMesh::State::closeUnlessDone(const std::shared_ptr<PeerSocket>& socket, std::chrono::milliseconds timeout, const std::shared_ptr<bool>& isDone)
{
    const auto timer = std::make_shared<Timer>(loop.get_executor());
    timer->expires_after(timeout);
    timer->async_wait([timer, socket, isDone](const auto&) {
        boost::system::error_code ignored;
        if (!*isDone)
            socket->close(ignored);
    });
}

Task<void> PeerMesh::State::acceptLoop(Acceptor acceptor)
{
    const auto self = shared_from_this();
    while (!isStopped) {
        auto [ec, socket] = co_await acceptor.async_accept(asTuple);
        if (ec)
            continue;
        const auto accepted = std::make_shared<PeerSocket>(std::move(socket));
        asio::co_spawn(loop, serve(accepted), asio::detached);
    }
}

Task<bool> PeerMesh::State::authenticateDialer(PeerSocket& socket, InstanceId& from)
{
    Wire::Challenge challenge;
    challenge.instance = options.self.value();
    challenge.nonce = makeNonce();
    const auto frame = encodeFrame(encodeThrift(challenge));
    const auto [writeEc, written] = co_await asio::async_write(socket, asio::buffer(frame), asTuple);
    std::string payload;
    if (writeEc)
        co_return false;
    const auto readEc = co_await readFrameFrom(socket, payload, maxGreetingBytes);
    if (readEc)
        co_return false;
    const auto hello = decodeThrift<Wire::Hello>(payload);
    if (!hello)
        co_return false;
    from = InstanceId(hello->instance);
    const Incarnation incarnation(toUnsigned(hello->incarnation));
    const auto proof = makeProof(options.key, challenge.nonce, hello->instance, incarnation.value());
    // A stranger's name leaves no record.
    const auto known = inboundPeers.find(from);
    const auto lastIncarnation = known == inboundPeers.end() ? Incarnation() : known->second.incarnation;
    const auto isAuthentic = links.contains(from) && equalConstantTime(proof, hello->proof) && incarnation >= lastIncarnation;
    if (!isAuthentic) {
        logEvent(LogEvent::PeerRejected, "instance={} incarnation={}", from.value(), incarnation.value());
        co_return false;
    }
    inboundPeers[from].incarnation = incarnation;
    co_return true;
}

Task<void> PeerMesh::State::serve(std::shared_ptr<PeerSocket> socket)
{
    const auto self = shared_from_this();
    setLinkOptions(*socket);
    const auto isDone = std::make_shared<bool>(false);
    closeUnlessDone(socket, handshakeTimeout, isDone);
    InstanceId from;
    const auto isAuthentic = co_await authenticateDialer(*socket, from);
    *isDone = true;
    if (!isAuthentic)
        co_return;
    std::string payload;
    while (!isStopped) {
        const auto ec = co_await readFrameFrom(*socket, payload);
        if (ec)
            break;
        inboundPeers[from].lastMessageAt = monotonicNow();
        const auto message = decodeThrift<Wire::PeerMessage>(payload);
        if (!message)
            break;
        handler(from, *message);
    }
}

Task<bool> PeerMesh::State::dial(Link& link)
{
    const auto endpoint = parseEndpoint(link.peer.address);
    link.socket = std::make_shared<PeerSocket>(loop.get_executor());
    const auto isDone = std::make_shared<bool>(false);
    closeUnlessDone(link.socket, handshakeTimeout, isDone);
    const auto [connectEc] = co_await link.socket->async_connect(*endpoint, asTuple);
    if (connectEc)
        co_return false;
    std::string payload;
    const auto readEc = co_await readFrameFrom(*link.socket, payload, maxGreetingBytes);
    if (readEc)
        co_return false;
    const auto challenge = decodeThrift<Wire::Challenge>(payload);
    if (!challenge)
        co_return false;
    setLinkOptions(*link.socket);
    Wire::Hello hello;
    hello.instance = options.self.value();
    hello.incarnation = toSigned(options.incarnation.value());
    hello.proof = makeProof(options.key, challenge->nonce, hello.instance, options.incarnation.value());
    const auto frame = encodeFrame(encodeThrift(hello));
    const auto [ec, n] = co_await asio::async_write(*link.socket, asio::buffer(frame), asTuple);
    *isDone = true;
    co_return !ec;
}

Task<void> PeerMesh::State::writeLoop(Link& link)
{
    for (;;) {
        if (link.queue.empty()) {
            link.wake.expires_after(keepAliveInterval);
            co_await link.wake.async_wait(asTuple);
        }
        // An empty message shows the peer that this instance is reachable.
        if (link.queue.empty())
            enqueue(link, encodeFrame(encodeThrift(Wire::PeerMessage {})));
        std::string buf;
        for (const auto& it : link.queue)
            buf += it;
        link.queue.clear();
        link.queuedBytes = 0;
        const auto [ec, n] = co_await asio::async_write(*link.socket, asio::buffer(buf), asTuple);
        bytesSent += n;
        if (ec || isStopped)
            co_return;
    }
}

Task<void> PeerMesh::State::dialLoop(Link& link)
{
    const auto self = shared_from_this();
    while (!isStopped) {
        const auto isDialed = co_await dial(link);
        if (isDialed) {
            link.isConnected = true;
            logEvent(LogEvent::PeerConnected, "instance={}", link.peer.instance.value());
            if (connectedCallback)
                connectedCallback(link.peer.instance);
            co_await writeLoop(link);
            link.isConnected = false;
            link.queue.clear();
            link.queuedBytes = 0;
            logEvent(LogEvent::PeerLost, "instance={}", link.peer.instance.value());
        }
        boost::system::error_code ignored;
        link.socket->close(ignored);
        link.wake.expires_after(redialInterval);
        co_await link.wake.async_wait(asTuple);
    }
}

void PeerMesh::State::enqueue(Link& link, std::string frame)
{
    if (!link.isConnected)
        return;
    link.queuedBytes += frame.size();
    link.queue.push_back(std::move(frame));
    boost::system::error_code ignored;
    if (link.queuedBytes > options.maxQueuedBytes)
        link.socket->close(ignored);
    link.wake.cancel();
}

PeerMesh::PeerMesh(asio::io_context& loop, Options options, Handler handler)
    : m_state(std::make_shared<State>(loop, std::move(options), std::move(handler)))
{
    asio::co_spawn(loop, m_state->acceptLoop(openListener(loop, m_state->options.listen)), asio::detached);
    for (auto& [id, link] : m_state->links)
        asio::co_spawn(loop, m_state->dialLoop(*link), asio::detached);
}

PeerMesh::~PeerMesh()
{
    m_state->isStopped = true;
}

void PeerMesh::send(const InstanceId& to, const Wire::PeerMessage& message)
{
    asio::post(m_state->loop, [state = m_state, to, frame = encodeFrame(encodeThrift(message))]() mutable {
        const auto link = state->links.find(to);
        if (link != state->links.end())
            state->enqueue(*link->second, std::move(frame));
    });
}

std::set<InstanceId> PeerMesh::reachable() const
{
    std::set<InstanceId> instances;
    const auto now = monotonicNow();
    for (const auto& [id, inbound] : m_state->inboundPeers) {
        if (m_state->links.contains(id) && now - inbound.lastMessageAt < m_state->options.silenceLimit)
            instances.insert(id);
    }
    return instances;
}

void PeerMesh::onConnected(std::function<void(const InstanceId&)> callback)
{
    m_state->connectedCallback = std::move(callback);
}

std::uint64_t PeerMesh::bytesSent() const
{
    return m_state->bytesSent;
}

} // namespace HickoryHollow
