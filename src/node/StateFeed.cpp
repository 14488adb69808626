#include "node/StateFeed.h"

#include "base/LogEvent.h"
#include "links/StateMesh.h"
#include "node/UseCodec.h"
#include "wire/FleetCodec.h"
#include "wire/LedgerCodec.h"
#include "wire/Signed.h"
#include "wire/gen/hickoryhollow_types.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace HickoryHollow {

namespace {

constexpr Duration dialTimeout = std::chrono::milliseconds(500);
constexpr Duration avoidAfterFailure = std::chrono::seconds(3);
constexpr Duration pauseBetweenHomes = std::chrono::milliseconds(100);

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

    InstanceId pickHome(TimePoint now) const;
    Task<void> run();
    Task<void> serveHome(std::shared_ptr<Link>);
    void take(const Wire::LinkMessage&);
    void takeReply(const Wire::FreshnessReply&);
    void poll(Link&);
    void tellUse(Link&, bool always);
    void tellKeptPrompts(Link&);

    asio::io_context& loop;
    Options options;
    Events events;
    StateAddresses addresses;
    Timer wake;
    InstanceId home; // Empty between two homes.
    std::map<InstanceId, TimePoint> failedAt;
    std::map<std::uint64_t, TimePoint> askedAt; // Polls of the current link without an answer.
    UseReport told; // The last report.
    std::uint64_t lastPoll = 0;
    TimePoint confirmedAt {}; // When the last confirmation came, or the link was opened.
    bool isPollDue = false;
    bool hasConfirmed = false; // The home, since its link was opened.
    bool isRefused = false; // The home said that it cannot confirm, and never did.
    bool isStopped = false;
};

InstanceId StateFeed::State::pickHome(TimePoint now) const
{
    const auto homes = addresses.homes(options.failureDomain, options.seed);
    const auto wasGood = [&](const InstanceId& id) {
        const auto failed = failedAt.find(id);
        return failed == failedAt.end() || now - failed->second > avoidAfterFailure;
    };
    const auto it = std::find_if(homes.begin(), homes.end(), wasGood);
    if (it != homes.end())
        return *it;
    // All failed of late: the one whose failure is the longest ago.
    const auto oldest = std::min_element(homes.begin(), homes.end(), [this](const auto& a, const auto& b) { return failedAt.at(a) < failedAt.at(b); });
    return oldest == homes.end() ? InstanceId() : *oldest;
}

Task<void> StateFeed::State::run()
{
    const auto keepAlive = shared_from_this();
    while (!isStopped) {
        const auto next = pickHome(monotonicNow());
        std::shared_ptr<Link> link;
        const auto ec = co_await dialLink(loop, next.value(), dialTimeout, options.link, link);
        if (!ec) {
            home = next;
            logEvent(LogEvent::PeerConnected, "instance={}", home.value());
            co_await serveHome(link);
            logEvent(LogEvent::PeerLost, "instance={} unconfirmed_ms={}", next.value(), (monotonicNow() - confirmedAt) / std::chrono::milliseconds(1));
        }
        home = {};
        failedAt[next] = monotonicNow();
        wake.expires_after(pauseBetweenHomes);
        co_await wake.async_wait(asTuple);
    }
}

Task<void> StateFeed::State::serveHome(std::shared_ptr<Link> link)
{
    askedAt.clear();
    confirmedAt = monotonicNow();
    hasConfirmed = false;
    isRefused = false;
    link->start([state = shared_from_this()](const auto& message) { state->take(message); }, [state = shared_from_this()] { state->wake.cancel(); });
    Wire::LinkHello hello;
    hello.instance = options.instance;
    hello.failureDomain = options.failureDomain.value();
    Wire::LinkMessage message;
    message.__set_hello(hello);
    link->send(message);
    for (int turn = 0; !isStopped && !isRefused && link->isOpen() && monotonicNow() - confirmedAt <= options.patience; ++turn) {
        const auto isPoll = std::exchange(isPollDue, false) || turn % options.reportsPerPoll == 0;
        if (isPoll)
            poll(*link);
        tellUse(*link, isPoll);
        tellKeptPrompts(*link);
        wake.expires_after(options.useInterval);
        co_await wake.async_wait(asTuple);
    }
    link->close();
}

void StateFeed::State::poll(Link& link)
{
    Wire::FreshnessPoll poll;
    poll.id = toSigned(++lastPoll);
    poll.held = toSigned(events.held().value());
    askedAt[lastPoll] = monotonicNow();
    Wire::LinkMessage message;
    message.__set_freshnessPoll(poll);
    link.send(message);
}

void StateFeed::State::tellUse(Link& link, bool always)
{
    auto report = events.ownUses();
    if (!always && report == told)
        return;
    Wire::LinkMessage uses;
    uses.__set_uses(toWire(report));
    told = std::move(report);
    link.send(uses);
}

void StateFeed::State::tellKeptPrompts(Link& link)
{
    const auto prompts = events.ownKeptPrompts();
    if (prompts.empty())
        return;
    Wire::LinkMessage message;
    message.__set_keptPrompts(toWire(prompts));
    link.send(message);
}

void StateFeed::State::take(const Wire::LinkMessage& message)
{
    if (message.__isset.hello) {
        for (const auto& it : HickoryHollow::fromWire(message.hello.states))
            addresses.learn(it, monotonicNow());
    } else if (message.__isset.routing) {
        events.routing(HickoryHollow::fromWire(message.routing));
    } else if (message.__isset.fleetNews) {
        events.backends(HickoryHollow::fromWire(message.fleetNews).records);
    } else if (message.__isset.uses) {
        events.uses(HickoryHollow::fromWire(message.uses));
    } else if (message.__isset.keptPrompts) {
        events.keptPrompts(HickoryHollow::fromWire(message.keptPrompts));
    } else if (message.__isset.freshnessReply) {
        takeReply(message.freshnessReply);
    }
}

void StateFeed::State::takeReply(const Wire::FreshnessReply& reply)
{
    for (const auto& it : HickoryHollow::fromWire(reply.states))
        addresses.learn(it, monotonicNow());
    addresses.seen(home, monotonicNow());
    addresses.tick(monotonicNow());
    if (reply.__isset.document)
        events.routing(HickoryHollow::fromWire(reply.document));
    const auto asked = askedAt.find(toUnsigned(reply.id));
    if (asked == askedAt.end())
        return;
    const auto at = asked->second;
    askedAt.erase(askedAt.begin(), std::next(asked));
    events.entryInstances(static_cast<std::uint32_t>(std::max(reply.entryInstances, 1)));
    if (!reply.confirmed) {
        // One that did confirm may be in an election; a new one that cannot may be cut off from the others for long.
        isRefused = !hasConfirmed;
        if (isRefused)
            wake.cancel();
        return;
    }
    hasConfirmed = true;
    confirmedAt = monotonicNow();
    events.confirmed(RoutingVersion(toUnsigned(reply.version)), at);
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

InstanceId StateFeed::home() const
{
    return m_state->home;
}

} // namespace HickoryHollow
