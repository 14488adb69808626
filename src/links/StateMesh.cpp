#include "links/StateMesh.h"

#include "base/LogEvent.h"
#include "net/Listener.h"
#include "net/Timer.h"
#include "wire/Signed.h"
#include "wire/gen/hickoryhollow_types.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace HickoryHollow {

namespace {

constexpr Duration dialTimeout = std::chrono::milliseconds(700);
constexpr Duration redialDelay = std::chrono::milliseconds(250);
constexpr Duration maxRedialDelay = std::chrono::seconds(2); // Delay for an address that stays unreachable.
// Gives connections time to end if file descriptors ran out.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(50);
// Entry instances send reports; the largest lists every server and every stream of the last seconds.
constexpr std::size_t maxEntryFrameBytes = 4UL << 20U;
constexpr Duration advertisedAge = std::chrono::seconds(30); // Addresses without a link for longer are not advertised.

} // namespace

std::vector<StateAddress> fromWire(const std::vector<Wire::StateAddress>& wire)
{
    std::vector<StateAddress> addresses;
    addresses.reserve(wire.size());
    for (const auto& it : wire)
        addresses.push_back({ .listen = InstanceId(it.listen), .failureDomain = FailureDomainId(it.failureDomain) });
    return addresses;
}

struct StateMesh::State : std::enable_shared_from_this<StateMesh::State> {
    State(asio::io_context& ioLoop, Options meshOptions, Events meshEvents)
        : loop(ioLoop)
        , options(std::move(meshOptions))
        , events(std::move(meshEvents))
        , self(options.listen)
        , addresses({ .self = self })
        , limits(options.accepted)
    {
    }

    Wire::LinkMessage hello() const;
    std::vector<Wire::StateAddress> advertisedAddresses() const;
    Task<void> acceptLoop(Acceptor);
    void accept(PeerSocket&&);
    void refuse(std::uint64_t number, std::string_view cause);
    void refuseOverdue(TimePoint now);
    void handleHello(std::uint64_t number, const Wire::LinkHello&);
    void handleAcceptedMessage(std::uint64_t number, const Wire::LinkMessage&);
    void handleAcceptedClosed(std::uint64_t number);
    Task<void> dialLoop(InstanceId to);
    void learn(const std::vector<Wire::StateAddress>&);

    /** A link that another instance dialled. */
    struct Accepted {
        std::shared_ptr<Link> link;
        bool hasSentHello = false; ///< The first frame of the other instance arrived.
        InstanceId state; ///< Address of the state instance that dialled; empty for an entry instance.

        bool isEntry() const { return hasSentHello && state.value().empty(); }
    };

    asio::io_context& loop;
    Options options;
    Events events;
    InstanceId self;
    StateAddresses addresses;
    // Open links that this instance dialled, by the other instance's address.
    std::map<InstanceId, std::shared_ptr<Link>> outgoing;
    std::set<InstanceId> dialLoops; // Addresses that have a running dialLoop().
    std::map<std::uint64_t, Accepted> accepted; // By link number.
    AcceptedLinks limits; // Of the links in `accepted`.
    std::uint64_t linksClosed = 0; // By refuse().
    std::uint64_t lastLinkNumber = 0;
    bool isStopped = false;
};

std::vector<Wire::StateAddress> StateMesh::State::advertisedAddresses() const
{
    std::vector<Wire::StateAddress> list;
    const auto add = [&list](const StateAddress& address) {
        auto& encoded = list.emplace_back();
        encoded.listen = address.listen.value();
        encoded.failureDomain = address.failureDomain.value();
    };
    add({ .listen = InstanceId(options.listen), .failureDomain = options.failureDomain });
    for (const auto& it : addresses.connectedWithin(advertisedAge, monotonicNow()))
        add(it);
    return list;
}

Wire::LinkMessage StateMesh::State::hello() const
{
    Wire::LinkHello hello;
    hello.instance = options.instance;
    hello.listen = options.listen;
    hello.failureDomain = options.failureDomain.value();
    hello.incarnation = toSigned(options.incarnation.value());
    hello.states = advertisedAddresses();
    Wire::LinkMessage message;
    message.__set_hello(hello);
    return message;
}

void StateMesh::State::learn(const std::vector<Wire::StateAddress>& list)
{
    for (const auto& it : fromWire(list))
        addresses.learn(it, monotonicNow());
}

Task<void> StateMesh::State::acceptLoop(Acceptor acceptor)
{
    const auto keepAlive = shared_from_this();
    while (!isStopped) {
        auto [ec, socket] = co_await acceptor.async_accept(asTuple);
        if (!ec) {
            accept(std::move(socket));
        } else if (ec == asio::error::operation_aborted) {
            co_return;
        } else {
            Timer pause(loop.get_executor());
            pause.expires_after(acceptRetryDelay);
            co_await pause.async_wait(asTuple);
        }
    }
}

void StateMesh::State::accept(PeerSocket&& socket)
{
    const auto number = ++lastLinkNumber;
    const auto link = std::make_shared<Link>(std::move(socket), options.link);
    accepted[number].link = link;
    link->setMaxFrameBytes(maxGreetingBytes);
    link->start([state = shared_from_this(), number](const auto& message) { state->handleAcceptedMessage(number, message); }, [state = shared_from_this(), number] { state->handleAcceptedClosed(number); });
    link->send(hello());
    if (const auto excess = limits.open(number, monotonicNow()))
        refuse(*excess, "too-many-links");
}

// The link's end is reported to handleAcceptedClosed() later. What counts is counted here, so that each is refused once.
void StateMesh::State::refuse(std::uint64_t number, std::string_view cause)
{
    limits.close(number);
    ++linksClosed;
    logEvent(LogEvent::PeerRejected, "link={} cause={}", number, cause);
    const auto it = accepted.find(number);
    if (it != accepted.end())
        it->second.link->close();
}

void StateMesh::State::refuseOverdue(TimePoint now)
{
    for (auto it = limits.overdue(now); it; it = limits.overdue(now))
        refuse(*it, "no-hello-in-time");
}

void StateMesh::State::handleAcceptedMessage(std::uint64_t number, const Wire::LinkMessage& message)
{
    const auto it = accepted.find(number);
    if (it == accepted.end())
        return;
    auto& peer = it->second;
    if (message.__isset.hello) {
        handleHello(number, message.hello);
    } else if (!peer.hasSentHello) {
        logEvent(LogEvent::PeerRejected, "link={} cause=no-hello", number);
        peer.link->close();
    } else if (peer.state.value().empty()) {
        events.entryMessage(EntryLinkId(number), message);
    } else {
        addresses.markConnected(peer.state, monotonicNow());
        events.stateMessage(peer.state, message);
    }
}

void StateMesh::State::handleHello(std::uint64_t number, const Wire::LinkHello& hello)
{
    auto& peer = accepted[number];
    if (std::exchange(peer.hasSentHello, true))
        return; // What a peer is does not change on a link.
    limits.greet(number);
    peer.state = InstanceId(hello.listen);
    peer.link->setMaxFrameBytes(hello.listen.empty() ? maxEntryFrameBytes : maxFrameBytes);
    if (hello.listen.empty()) {
        events.entryJoined(EntryLinkId(number), { .instance = hello.instance, .failureDomain = FailureDomainId(hello.failureDomain), .relayListen = hello.relayListen });
        return;
    }
    addresses.learn({ .listen = peer.state, .failureDomain = FailureDomainId(hello.failureDomain) }, monotonicNow());
    learn(hello.states);
}

void StateMesh::State::handleAcceptedClosed(std::uint64_t number)
{
    const auto peer = accepted.extract(number);
    limits.close(number);
    if (peer.empty() || isStopped || !peer.mapped().hasSentHello)
        return;
    const auto& state = peer.mapped().state;
    if (peer.mapped().isEntry())
        events.entryLeft(EntryLinkId(number));
    else if (std::none_of(accepted.begin(), accepted.end(), [&state](const auto& it) { return it.second.state == state; }))
        events.stateSilent(state);
}

Task<void> StateMesh::State::dialLoop(InstanceId to)
{
    const auto keepAlive = shared_from_this();
    Timer pause(loop.get_executor());
    auto delay = redialDelay;
    while (!isStopped && addresses.contains(to)) {
        std::shared_ptr<Link> link;
        const auto ec = co_await dialLink(loop, to.value(), dialTimeout, options.link, link);
        if (!ec) {
            delay = redialDelay;
            outgoing[to] = link;
            const auto closed = std::make_shared<Timer>(loop.get_executor(), Timer::time_point::max());
            link->start(
                [state = keepAlive, to](const auto& message) {
                    state->addresses.markConnected(to, monotonicNow());
                    if (message.__isset.hello) {
                        state->addresses.learn({ .listen = to, .failureDomain = FailureDomainId(message.hello.failureDomain) }, monotonicNow());
                        state->learn(message.hello.states);
                    }
                },
                [closed] { closed->cancel(); });
            link->send(hello());
            logEvent(LogEvent::PeerConnected, "instance={}", to.value());
            events.stateJoined(to);
            if (link->isOpen())
                co_await closed->async_wait(asTuple);
            outgoing.erase(to);
            logEvent(LogEvent::PeerLost, "instance={}", to.value());
            if (!isStopped)
                events.stateLeft(to);
        }
        pause.expires_after(delay);
        delay = std::min(delay * 2, maxRedialDelay);
        co_await pause.async_wait(asTuple);
    }
    dialLoops.erase(to);
}

StateMesh::StateMesh(asio::io_context& loop, Options options, Events events)
    : m_state(std::make_shared<State>(loop, std::move(options), std::move(events)))
{
    asio::co_spawn(loop, m_state->acceptLoop(openListener(loop, m_state->options.bind.empty() ? m_state->options.listen : m_state->options.bind)), asio::detached);
}

StateMesh::~StateMesh()
{
    m_state->isStopped = true;
}

void StateMesh::setSeeds(const std::vector<InstanceId>& seeds)
{
    m_state->addresses.setSeeds(seeds, monotonicNow());
    tick();
}

void StateMesh::tick()
{
    const auto now = monotonicNow();
    for (const auto& [id, link] : m_state->outgoing)
        m_state->addresses.markConnected(id, now);
    m_state->addresses.forgetStale(now);
    m_state->refuseOverdue(now);
    for (const auto& it : m_state->addresses.all()) {
        if (m_state->dialLoops.insert(it.listen).second)
            asio::co_spawn(m_state->loop, m_state->dialLoop(it.listen), asio::detached);
    }
}

void StateMesh::sendToState(const InstanceId& to, const Wire::LinkMessage& message)
{
    const auto it = m_state->outgoing.find(to);
    if (it != m_state->outgoing.end())
        it->second->send(message);
}

void StateMesh::sendToStates(const Wire::LinkMessage& message)
{
    const auto frame = makeSharedFrame(message);
    for (const auto& [id, link] : m_state->outgoing)
        link->sendFrame(frame);
}

void StateMesh::sendToEntry(EntryLinkId to, const Wire::LinkMessage& message)
{
    const auto it = m_state->accepted.find(to.value());
    if (it != m_state->accepted.end())
        it->second.link->send(message);
}

void StateMesh::sendFrameToEntry(EntryLinkId to, SharedFrame frame)
{
    const auto it = m_state->accepted.find(to.value());
    if (it != m_state->accepted.end())
        it->second.link->sendFrame(std::move(frame));
}

void StateMesh::sendToEntries(const Wire::LinkMessage& message)
{
    const auto frame = makeSharedFrame(message);
    for (const auto& [number, peer] : m_state->accepted) {
        if (peer.isEntry())
            peer.link->sendFrame(frame);
    }
}

void StateMesh::sendLatestToEntry(EntryLinkId to, LinkSubject subject, FrameSource source)
{
    const auto it = m_state->accepted.find(to.value());
    if (it != m_state->accepted.end())
        it->second.link->sendLatest(subject, std::move(source));
}

void StateMesh::sendLatestToEntries(LinkSubject subject, const Wire::LinkMessage& message)
{
    auto frame = makeSharedFrame(message);
    for (const auto& [number, peer] : m_state->accepted) {
        if (peer.isEntry())
            peer.link->sendLatest(subject, [frame] { return frame; });
    }
}

const InstanceId& StateMesh::self() const
{
    return m_state->self;
}

std::set<InstanceId> StateMesh::reachable() const
{
    std::set<InstanceId> ids;
    for (const auto& [id, link] : m_state->outgoing)
        ids.insert(id);
    return ids;
}

std::set<InstanceId> StateMesh::known() const
{
    std::set<InstanceId> ids;
    for (const auto& it : m_state->addresses.all())
        ids.insert(it.listen);
    return ids;
}

std::size_t StateMesh::entryLinks() const
{
    return static_cast<std::size_t>(std::count_if(m_state->accepted.begin(), m_state->accepted.end(), [](const auto& it) { return it.second.isEntry(); }));
}

std::uint64_t StateMesh::linksClosed() const
{
    return m_state->linksClosed;
}

std::vector<Wire::StateAddress> StateMesh::advertisedAddresses() const
{
    return m_state->advertisedAddresses();
}

} // namespace HickoryHollow
