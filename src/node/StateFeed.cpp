#include "node/StateFeed.h"

#include "base/LogEvent.h"
#include "links/EntryAddressCodec.h"
#include "links/StateMesh.h"
#include "node/FeedReports.h"
#include "node/LinkOnTrial.h"
#include "node/RoutingDeltaCodec.h"
#include "node/UsageCodec.h"
#include "wire/AdmissionCodec.h"
#include "wire/FleetCodec.h"
#include "wire/LedgerCodec.h"
#include "wire/LimitCodec.h"
#include "wire/PromptEvidenceCodec.h"
#include "wire/Signed.h"
#include "wire/StreamOriginCodec.h"
#include "wire/gen/hickoryhollow_types.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace HickoryHollow {

namespace {

constexpr Duration dialTimeout = std::chrono::milliseconds(500);
// A state instance is avoided for this time after its link failed or ended.
constexpr Duration failureBackoff = std::chrono::seconds(3);
// Pause before the next dial. It doubles with each link that gave no confirmation, so that many entry instances together do not
// delay the state instances' recovery, and stays short enough to be back within a second of it.
constexpr Duration reconnectDelay = std::chrono::milliseconds(100);
constexpr Duration maxReconnectDelay = std::chrono::milliseconds(400);
// Time between two moves into the own failure domain: a state instance there that is up but does not confirm is not tried all the time.
constexpr Duration moveInterval = std::chrono::seconds(20);
// Mean time between two moves in the whole deployment: each new link is sent the records of all servers.
constexpr Duration moveIntervalOfFleet = std::chrono::milliseconds(50);

} // namespace

struct StateFeed::State : std::enable_shared_from_this<StateFeed::State> {
    State(asio::io_context& ioLoop, Options feedOptions, Events feedEvents)
        : loop(ioLoop)
        , options(std::move(feedOptions))
        , events(std::move(feedEvents))
        , addresses({ .self = {} })
        , wake(ioLoop.get_executor())
    {
    }

    /** A link that takes the place of the present one, to an instance that has confirmed. */
    struct Move {
        InstanceId instance;
        std::shared_ptr<LinkOnTrial> link;
        std::uint64_t poll = 0; // That was confirmed.
        TimePoint polledAt {};
    };

    InstanceId selectInstance(TimePoint now) const;
    bool shouldTryMove(TimePoint now) const;
    /** Opens a link to a state instance of the own failure domain; sets `move` once that has confirmed. */
    Task<void> tryMove();
    /** Drops a move whose link has closed. Returns true if there is another. */
    bool hasMove();
    Task<void> run();
    /** Uses a link until it ends or there is a better one. The link is null if it comes with a move. */
    Task<void> serveLink(std::shared_ptr<Link>, std::optional<Move>);
    Wire::LinkMessage hello() const;
    Wire::LinkMessage makePoll(std::uint64_t id) const;
    void handleMessage(const Wire::LinkMessage&);
    void receiveRouting(RoutingDocument);
    void receiveRoutingDelta(const Wire::RoutingDelta&);
    void handleFreshnessReply(const Wire::FreshnessReply&);
    void poll(Link&);
    void sendStreams(const std::vector<StreamOrigin>&);
    void answerOrigin(std::uint64_t id, std::optional<VersionId>);

    asio::io_context& loop;
    Options options;
    Events events;
    FeedReports reports { events };
    StateAddresses addresses;
    Timer wake; // Cancelled to end the current pause in serveLink().
    std::shared_ptr<Link> current; // Null while no link is open.
    std::map<std::uint64_t, OriginCallback> originQueries; // Not answered yet, by id; all on `current`.
    std::uint64_t lastOriginQuery = 0;
    InstanceId attached; // Empty while no link is open.
    std::int64_t entryInstances = 0; // In the deployment, as far as it is known.
    std::map<InstanceId, TimePoint> failedAt; // When a dial attempt failed or a link ended last.
    std::map<std::uint64_t, TimePoint> pollSentAt; // Unanswered polls of the current link, by poll id.
    RoutingDocument held; // Newest configuration that was received; differences apply to its text.
    bool needsWhole = false; // A difference did not fit `held`, and no whole configuration came since.
    std::uint64_t lastPoll = 0;
    TimePoint attachedAt {}; // When the current link was opened.
    std::optional<TimePoint> moveTriedAt; // When a state instance of the own failure domain was dialled last in order to move there.
    std::optional<Move> move; // Which is made next.
    TimePoint confirmedAt {}; // Time of the last confirmation, or of opening the link if there was none since.
    bool isPollDue = false; // pollNow() was called.
    bool hasConfirmed = false; // The attached instance has confirmed since the link was opened.
    bool cannotConfirm = false; // The attached instance denied a confirmation and has given none on this link.
    bool isStopped = false;
};

InstanceId StateFeed::State::selectInstance(TimePoint now) const
{
    const auto candidates = addresses.attachmentOrder(options.failureDomain, options.seed);
    const auto isUsable = [&](const InstanceId& id) {
        const auto failed = failedAt.find(id);
        return failed == failedAt.end() || now - failed->second > failureBackoff;
    };
    const auto it = std::find_if(candidates.begin(), candidates.end(), isUsable);
    if (it != candidates.end())
        return *it;
    // All candidates failed within the back-off time: retry the one that failed first.
    const auto oldest = std::min_element(candidates.begin(), candidates.end(), [this](const auto& a, const auto& b) { return failedAt.at(a) < failedAt.at(b); });
    return oldest == candidates.end() ? InstanceId() : *oldest;
}

// A feed that has just started knows only seeds, and the failure domain of none of them.
bool StateFeed::State::shouldTryMove(TimePoint now) const
{
    constexpr std::uint64_t steps = 1000;
    const auto spread = options.moveDelay + moveIntervalOfFleet * entryInstances;
    const auto delay = options.moveDelay + spread * static_cast<std::int64_t>(options.seed % steps) / static_cast<std::int64_t>(steps);
    if (!hasConfirmed || now < attachedAt + delay || (moveTriedAt && now < *moveTriedAt + moveInterval) || addresses.isInDomain(attached, options.failureDomain))
        return false;
    return addresses.isInDomain(selectInstance(now), options.failureDomain);
}

// Runs beside serveLink(), so that the present link keeps the lease on the configuration whatever the other instance does.
Task<void> StateFeed::State::tryMove()
{
    const auto keepAlive = shared_from_this();
    Move next { .instance = selectInstance(monotonicNow()) };
    std::shared_ptr<Link> link;
    const auto ec = co_await dialLink(loop, next.instance.value(), dialTimeout, options.link, link);
    auto hasConfirmedHere = false;
    if (!ec && !isStopped) {
        next.link = std::make_shared<LinkOnTrial>(loop, link);
        next.poll = ++lastPoll;
        next.polledAt = monotonicNow();
        hasConfirmedHere = co_await next.link->run(hello(), makePoll(next.poll), options.confirmationTimeout);
    }
    if (isStopped && link)
        link->close();
    if (isStopped)
        co_return;
    if (!hasConfirmedHere) {
        logEvent(LogEvent::PeerRejected, "instance={} cause={}", next.instance.value(), ec ? "unreachable" : "unconfirmed");
        failedAt[next.instance] = monotonicNow();
        co_return;
    }
    move = std::move(next);
    wake.cancel();
}

bool StateFeed::State::hasMove()
{
    if (move && !move->link->isOpen()) {
        failedAt[move->instance] = monotonicNow();
        move.reset();
    }
    return move.has_value();
}

Task<void> StateFeed::State::run()
{
    const auto keepAlive = shared_from_this();
    Timer pause(loop.get_executor());
    auto delay = reconnectDelay;
    while (!isStopped) {
        hasConfirmed = false;
        auto made = std::exchange(move, std::nullopt);
        const auto next = made ? made->instance : selectInstance(monotonicNow());
        std::shared_ptr<Link> link;
        std::error_code ec;
        if (!made)
            ec = co_await dialLink(loop, next.value(), dialTimeout, options.link, link);
        if (!ec) {
            attached = next;
            attachedAt = monotonicNow();
            logEvent(LogEvent::PeerConnected, "instance={}", attached.value());
            co_await serveLink(std::move(link), std::move(made));
            logEvent(LogEvent::PeerLost, "instance={} unconfirmed_ms={}", next.value(), (monotonicNow() - confirmedAt) / std::chrono::milliseconds(1));
        }
        attached = {};
        if (hasMove())
            continue;
        failedAt[next] = monotonicNow();
        // Not `wake`: the end of the link cancels it.
        pause.expires_after(hasConfirmed ? reconnectDelay : delay);
        delay = hasConfirmed ? reconnectDelay : std::min(2 * delay, maxReconnectDelay);
        co_await pause.async_wait(asTuple);
    }
}

Task<void> StateFeed::State::serveLink(std::shared_ptr<Link> link, std::optional<Move> made)
{
    pollSentAt.clear();
    confirmedAt = monotonicNow();
    hasConfirmed = false;
    cannotConfirm = false;
    const auto received = [state = shared_from_this()](const auto& message) { state->handleMessage(message); };
    const auto closed = [state = shared_from_this()] { state->wake.cancel(); };
    if (made) {
        pollSentAt[made->poll] = made->polledAt;
        link = made->link->take(received, closed);
    } else {
        link->start(received, closed);
        link->send(hello());
    }
    current = link;
    sendStreams(events.streamOrigins());
    auto isFirst = true;
    auto nextInterval = monotonicNow();
    for (int interval = 0; !isStopped && !cannotConfirm && link->isOpen() && monotonicNow() - confirmedAt <= options.confirmationTimeout;) {
        if (hasMove())
            break;
        if (shouldTryMove(monotonicNow())) {
            moveTriedAt = monotonicNow();
            asio::co_spawn(loop, tryMove(), asio::detached);
        }
        // The loop also wakes between two intervals, for a report that is due at once.
        const auto isIntervalOver = monotonicNow() >= nextInterval;
        const auto isPoll = std::exchange(isPollDue, false) || (isIntervalOver && interval % options.intervalsPerPoll == 0);
        if (isIntervalOver) {
            nextInterval = monotonicNow() + options.usageInterval;
            ++interval;
        }
        if (isPoll)
            poll(*link);
        reports.send(*link, isPoll, std::exchange(isFirst, false));
        wake.expires_after(nextInterval - monotonicNow());
        co_await wake.async_wait(asTuple);
    }
    current = nullptr;
    for (const auto& [id, callback] : std::exchange(originQueries, {}))
        callback(std::nullopt);
    link->close();
}

void StateFeed::State::sendStreams(const std::vector<StreamOrigin>& origins)
{
    if (!current || origins.empty())
        return;
    Wire::LinkMessage message;
    message.__set_streamOrigins(toWire(origins));
    current->send(message);
}

void StateFeed::State::answerOrigin(std::uint64_t id, std::optional<VersionId> version)
{
    const auto query = originQueries.extract(id);
    if (!query.empty())
        query.mapped()(version);
}

Wire::LinkMessage StateFeed::State::hello() const
{
    Wire::LinkHello hello;
    hello.instance = options.instance;
    hello.failureDomain = options.failureDomain.value();
    if (!options.relayListen.empty())
        hello.__set_relayListen(options.relayListen);
    Wire::LinkMessage message;
    message.__set_hello(hello);
    return message;
}

Wire::LinkMessage StateFeed::State::makePoll(std::uint64_t id) const
{
    Wire::FreshnessPoll poll;
    poll.id = toSigned(id);
    poll.held = toSigned(held.version.value());
    poll.__set_needsWhole(needsWhole);
    Wire::LinkMessage message;
    message.__set_freshnessPoll(poll);
    return message;
}

void StateFeed::State::poll(Link& link)
{
    const auto id = ++lastPoll;
    pollSentAt[id] = monotonicNow();
    link.send(makePoll(id));
}

void StateFeed::State::handleMessage(const Wire::LinkMessage& message)
{
    if (message.__isset.hello) {
        for (const auto& it : HickoryHollow::fromWire(message.hello.states))
            addresses.learn(it, monotonicNow());
    } else if (message.__isset.routing) {
        receiveRouting(HickoryHollow::fromWire(message.routing));
    } else if (message.__isset.routingDelta) {
        receiveRoutingDelta(message.routingDelta);
    } else if (message.__isset.fleetNews) {
        events.backends(HickoryHollow::fromWire(message.fleetNews).records);
    } else if (message.__isset.uses) {
        events.usage(HickoryHollow::fromWire(message.uses));
    } else if (message.__isset.keptPrompts) {
        events.cachedPrefixes(HickoryHollow::fromWire(message.keptPrompts));
    } else if (message.__isset.promptFindings) {
        events.promptFindings(HickoryHollow::fromWire(message.promptFindings));
    } else if (message.__isset.entryAddresses) {
        events.relayTargets(HickoryHollow::fromWire(message.entryAddresses));
    } else if (message.__isset.limitUpdate) {
        events.limits(HickoryHollow::fromWire(message.limitUpdate));
    } else if (message.__isset.admissionTotals) {
        events.completions(HickoryHollow::fromWire(message.admissionTotals));
    } else if (message.__isset.streamOriginReply) {
        const auto& reply = message.streamOriginReply;
        answerOrigin(toUnsigned(reply.id), reply.__isset.version ? std::optional(VersionId(toUnsigned(reply.version))) : std::nullopt);
    } else if (message.__isset.freshnessReply) {
        handleFreshnessReply(message.freshnessReply);
    }
}

void StateFeed::State::receiveRouting(RoutingDocument document)
{
    needsWhole = false;
    if (document.version > held.version)
        held = std::move(document);
    events.routing(held);
}

void StateFeed::State::receiveRoutingDelta(const Wire::RoutingDelta& wire)
{
    const auto delta = HickoryHollow::fromWire(wire);
    if (delta.version <= held.version)
        return;
    auto document = applyDelta(held, delta);
    if (document)
        return receiveRouting(std::move(*document));
    logEvent(LogEvent::RoutingDeltaUnusable, "instance={} base={} held={} version={}", attached.value(), delta.base.value(), held.version.value(), delta.version.value());
    needsWhole = true;
    isPollDue = true;
    wake.cancel();
}

void StateFeed::State::handleFreshnessReply(const Wire::FreshnessReply& reply)
{
    for (const auto& it : HickoryHollow::fromWire(reply.states))
        addresses.learn(it, monotonicNow());
    addresses.markConnected(attached, monotonicNow());
    addresses.forgetStale(monotonicNow());
    if (reply.__isset.trueTimeMs)
        events.trueTime(std::chrono::milliseconds(reply.trueTimeMs));
    const auto poll = pollSentAt.find(toUnsigned(reply.id));
    if (poll == pollSentAt.end())
        return;
    const auto sentAt = poll->second;
    pollSentAt.erase(pollSentAt.begin(), std::next(poll));
    entryInstances = std::max(reply.entryInstances, 1);
    events.entryInstances(static_cast<std::uint32_t>(entryInstances));
    if (!reply.confirmed) {
        // An instance that confirmed before may be in an election, which is short. One that never confirmed on this
        // link may be partitioned from the other state instances for long, so the feed leaves it at once.
        cannotConfirm = !hasConfirmed;
        if (cannotConfirm)
            wake.cancel();
        isPollDue = true; // At the next interval: a lease is not much longer than an election.
        return;
    }
    hasConfirmed = true;
    confirmedAt = monotonicNow();
    events.confirmed(RoutingVersion(toUnsigned(reply.version)), sentAt);
}

StateFeed::StateFeed(asio::io_context& loop, Options options, Events events)
    : m_state(std::make_shared<State>(loop, std::move(options), std::move(events)))
{
}

StateFeed::~StateFeed()
{
    m_state->isStopped = true;
}

void StateFeed::start(const std::vector<InstanceId>& seeds)
{
    setSeeds(seeds);
    asio::co_spawn(m_state->loop, m_state->run(), asio::detached);
}

void StateFeed::setSeeds(const std::vector<InstanceId>& seeds)
{
    m_state->addresses.setSeeds(seeds, monotonicNow());
}

void StateFeed::pollNow()
{
    m_state->isPollDue = true;
    m_state->wake.cancel();
}

void StateFeed::reportNow()
{
    m_state->wake.cancel();
}

void StateFeed::reportStream(const StreamOrigin& origin)
{
    m_state->sendStreams({ origin });
}

void StateFeed::askOrigin(StreamId stream, const ServiceId& service, OriginCallback callback)
{
    if (!m_state->current)
        return callback(std::nullopt);
    Wire::StreamOriginQuery query;
    const auto id = ++m_state->lastOriginQuery;
    query.id = toSigned(id);
    query.stream = toSigned(stream.value());
    query.serviceName = service.value();
    Wire::LinkMessage message;
    message.__set_streamOriginQuery(query);
    m_state->originQueries.emplace(id, std::move(callback));
    m_state->current->send(message);
}

InstanceId StateFeed::attachedInstance() const
{
    return m_state->attached;
}

} // namespace HickoryHollow
