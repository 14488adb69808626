/** \file
 * An entry instance attaches to a state instance that can confirm its configuration if others cannot, and asks for a whole
 * configuration if a difference does not fit the one that it holds.
 */
#include "links/Link.h"
#include "net/Listener.h"
#include "node/RoutingDeltaCodec.h"
#include "node/StateFeed.h"
#include "wire/LedgerCodec.h"
#include "wire/gen/hickoryhollow_types.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

using namespace HickoryHollow;

namespace {

/** Answers the polls of a StateFeed as a state instance does, and always confirms or never does. */
class FakeStateInstance {
public:
    FakeStateInstance(asio::io_context& loop, const std::string& address, bool confirms)
        : m_confirms(confirms)
    {
        asio::co_spawn(loop, acceptLoop(openListener(loop, address)), asio::detached);
    }

    int polls() const { return m_polls; }
    /** Number of links that entry instances have opened. */
    std::size_t links() const { return m_links.size(); }
    bool isSilent = false; ///< Answers nothing, as a frozen process whose host accepts connections.
    /** Sends the message on the link of each entry instance that polled. */
    void send(const Wire::LinkMessage& message)
    {
        for (const auto& it : m_links)
            it->send(message);
    }
    /** Called with each poll, after its answer was sent. */
    std::function<void(const Wire::FreshnessPoll&)> polled = [](const auto&) {};

private:
    Task<void> acceptLoop(Acceptor acceptor)
    {
        for (;;) {
            auto [ec, socket] = co_await acceptor.async_accept(asTuple);
            if (ec)
                co_return;
            const auto link = std::make_shared<Link>(std::move(socket), LinkOptions {});
            m_links.push_back(link);
            link->start([this, link](const auto& message) { handleMessage(*link, message); }, [] {});
        }
    }

    void handleMessage(Link& link, const Wire::LinkMessage& message)
    {
        if (!message.__isset.freshnessPoll)
            return;
        ++m_polls;
        if (isSilent)
            return polled(message.freshnessPoll);
        Wire::FreshnessReply reply;
        reply.id = message.freshnessPoll.id;
        reply.confirmed = m_confirms;
        Wire::LinkMessage answer;
        answer.__set_freshnessReply(reply);
        link.send(answer);
        polled(message.freshnessPoll);
    }

    bool m_confirms;
    int m_polls = 0;
    std::vector<std::shared_ptr<Link>> m_links;
};

StateFeed::Events ignoredEvents()
{
    return {
        .routing = [](const auto&) {},
        .confirmed = [](auto, auto) {},
        .backends = [](const auto&) {},
        .usage = [](const auto&) {},
        .localUsage = [] { return UsageReport {}; },
        .cachedPrefixes = [](const auto&) {},
        .takeLocalPrefixes = [] { return std::vector<CachedPrefixReport> {}; },
        .takePromptEvidence = [](bool) { return PromptEvidence {}; },
        .promptFindings = [](const auto&) {},
        .takeLimitReport = [](bool) { return LimitReport(); },
        .limits = [](const auto&) {},
        .entryInstances = [](auto) {},
    };
}

} // namespace

TEST_CASE("a feed leaves a state instance whose first reply denies confirmation", "[state][loopback]")
{
    asio::io_context loop(1);
    const std::vector<InstanceId> addresses { InstanceId("127.0.0.1:7951"), InstanceId("127.0.0.1:7952"), InstanceId("127.0.0.1:7953") };
    const auto confirming = GENERATE(0U, 1U, 2U);
    std::vector<std::unique_ptr<FakeStateInstance>> instances;
    for (std::size_t i = 0; i < addresses.size(); ++i)
        instances.push_back(std::make_unique<FakeStateInstance>(loop, addresses[i].value(), i == confirming));
    auto events = ignoredEvents();
    events.confirmed = [&loop](auto, auto) { loop.stop(); };
    StateFeed feed(loop, { .instance = "e", .failureDomain = FailureDomainId("d"), .seed = 1 }, std::move(events));
    feed.start(addresses);
    loop.run();
    for (std::size_t i = 0; i < instances.size(); ++i)
        CHECK(instances[i]->polls() <= 1);
    CHECK(feed.attachedInstance() == addresses[confirming]);
}

TEST_CASE("a feed applies differences to the configuration it holds, and asks for the whole if one does not fit", "[state][loopback]")
{
    asio::io_context loop(1);
    const InstanceId address("127.0.0.1:7954");
    FakeStateInstance instance(loop, address.value(), true);
    const RoutingDocument first { .version = RoutingVersion(3), .text = "the text of the first version" };
    const RoutingDocument second { .version = RoutingVersion(5), .text = "the text of the second version" };
    const RoutingDocument third { .version = RoutingVersion(8), .text = "the text of the third version" };
    const auto whole = [](const RoutingDocument& document) {
        Wire::LinkMessage message;
        message.__set_routing(toWire(document));
        return message;
    };
    const auto difference = [](const RoutingDocument& from, const RoutingDocument& to) {
        Wire::LinkMessage message;
        message.__set_routingDelta(toWire({ .base = from.version, .version = to.version, .text = makeDelta(from.text, to.text) }));
        return message;
    };
    std::vector<Wire::FreshnessPoll> polls;
    instance.polled = [&](const auto& poll) {
        polls.push_back(poll);
        if (polls.size() == 1) {
            instance.send(whole(first));
            instance.send(difference(first, second));
            // Made from a text that the feed does not hold under that version.
            instance.send(difference({ .version = second.version, .text = third.text + "!" }, third));
        } else if (poll.needsWhole) {
            instance.send(whole(third));
        }
    };
    std::vector<RoutingDocument> received;
    auto events = ignoredEvents();
    events.routing = [&](const auto& document) {
        received.push_back(document);
        if (document == third)
            loop.stop();
    };
    StateFeed feed(loop, { .instance = "e", .failureDomain = FailureDomainId("d"), .seed = 1 }, std::move(events));
    feed.start({ address });
    loop.run();
    CHECK(received == std::vector<RoutingDocument> { first, second, third });
    REQUIRE(polls.size() >= 2);
    CHECK(polls.front().held == 0);
    // Tells the state instance that the feed knows differences.
    CHECK(polls.front().__isset.needsWhole);
    CHECK(polls.back().held == 5);
    CHECK(polls.back().needsWhole);
}

TEST_CASE("a feed pauses between state instances while none of them confirms", "[state][loopback]")
{
    asio::io_context loop(1);
    const std::vector<InstanceId> addresses { InstanceId("127.0.0.1:7951"), InstanceId("127.0.0.1:7952"), InstanceId("127.0.0.1:7953") };
    std::vector<std::unique_ptr<FakeStateInstance>> instances;
    instances.reserve(addresses.size());
    for (const auto& it : addresses)
        instances.push_back(std::make_unique<FakeStateInstance>(loop, it.value(), false));
    StateFeed feed(loop, { .instance = "e", .failureDomain = FailureDomainId("d"), .seed = 1 }, ignoredEvents());
    feed.start(addresses);
    loop.run_for(std::chrono::seconds(1));
    const auto polls = instances[0]->polls() + instances[1]->polls() + instances[2]->polls();
    CHECK(polls >= 1);
    // One each 100 ms at most.
    CHECK(polls <= 11);
}

// Guards against entry instances that stay at a seed of another failure domain, so that all usage totals cross failure domains.
TEST_CASE("a feed moves to a state instance of its own failure domain once one is advertised", "[state][loopback]")
{
    constexpr int polls = 10;
    asio::io_context loop(1);
    const InstanceId seed("127.0.0.1:7951");
    const InstanceId local("127.0.0.1:7952");
    const auto localConfirms = GENERATE(true, false);
    FakeStateInstance remoteInstance(loop, seed.value(), true);
    FakeStateInstance localInstance(loop, local.value(), localConfirms);
    Wire::StateAddress address;
    address.listen = local.value();
    address.failureDomain = "d";
    Wire::LinkHello hello;
    hello.states.push_back(address);
    Wire::LinkMessage advertisement;
    advertisement.__set_hello(hello);
    remoteInstance.polled = [&](const auto&) {
        remoteInstance.send(advertisement);
        if (remoteInstance.polls() == polls)
            loop.stop();
    };
    localInstance.polled = [&](const auto&) {
        if (localInstance.polls() == polls)
            loop.stop();
    };
    StateFeed feed(loop, { .instance = "e", .failureDomain = FailureDomainId("d"), .seed = 1, .moveDelay = Duration() }, ignoredEvents());
    feed.start({ seed });
    loop.run();
    CHECK(feed.attachedInstance() == (localConfirms ? local : seed));
    // One that does not confirm is left again and not tried at once.
    CHECK(localInstance.polls() == (localConfirms ? polls : 1));
}

// Guards against an entry instance that leaves a state instance that confirms for one that may not, and loses its lease meanwhile.
TEST_CASE("a feed leaves a state instance that confirms only for one that has confirmed", "[state][loopback]")
{
    constexpr int polls = 10;
    asio::io_context loop(1);
    const InstanceId seed("127.0.0.1:7951");
    const InstanceId local("127.0.0.1:7952");
    FakeStateInstance remoteInstance(loop, seed.value(), true);
    FakeStateInstance localInstance(loop, local.value(), false);
    localInstance.isSilent = true;
    Wire::StateAddress address;
    address.listen = local.value();
    address.failureDomain = "d";
    Wire::LinkHello hello;
    hello.states.push_back(address);
    Wire::LinkMessage advertisement;
    advertisement.__set_hello(hello);
    remoteInstance.polled = [&](const auto&) {
        remoteInstance.send(advertisement);
        if (remoteInstance.polls() >= polls && localInstance.links() > 0)
            loop.stop();
    };
    StateFeed feed(loop, { .instance = "e", .failureDomain = FailureDomainId("d"), .seed = 1, .usageInterval = std::chrono::milliseconds(20), .moveDelay = Duration() }, ignoredEvents());
    feed.start({ seed });
    loop.run();
    CHECK(localInstance.links() >= 1);
    CHECK(remoteInstance.links() == 1);
}

// What a state instance sends once, at the beginning of a link, comes before its first confirmation.
TEST_CASE("a feed takes over what a state instance sent before it confirmed, and only if it does", "[state][loopback]")
{
    constexpr int polls = 10;
    asio::io_context loop(1);
    const InstanceId seed("127.0.0.1:7951");
    const InstanceId local("127.0.0.1:7952");
    FakeStateInstance remoteInstance(loop, seed.value(), true);
    FakeStateInstance localInstance(loop, local.value(), true);
    const auto confirms = GENERATE(true, false);
    localInstance.isSilent = true;
    Wire::StateAddress address;
    address.listen = local.value();
    address.failureDomain = "d";
    Wire::LinkHello hello;
    hello.states.push_back(address);
    Wire::LinkMessage advertisement;
    advertisement.__set_hello(hello);
    Wire::LinkMessage whole;
    whole.__set_routing(toWire(RoutingDocument { .version = RoutingVersion(3), .text = "text" }));
    std::vector<std::string> seen;
    remoteInstance.polled = [&](const auto&) {
        remoteInstance.send(advertisement);
        if (remoteInstance.polls() == polls)
            loop.stop();
    };
    localInstance.polled = [&](const auto& poll) {
        if (localInstance.polls() > 1)
            return loop.stop();
        localInstance.send(whole);
        if (!confirms)
            return;
        localInstance.isSilent = false;
        Wire::FreshnessReply reply;
        reply.id = poll.id;
        reply.confirmed = true;
        reply.version = 3;
        Wire::LinkMessage answer;
        answer.__set_freshnessReply(reply);
        localInstance.send(answer);
    };
    auto events = ignoredEvents();
    events.routing = [&](const auto& document) { seen.push_back("version " + std::to_string(document.version.value())); };
    events.confirmed = [&](auto version, auto) {
        if (version == RoutingVersion(3))
            seen.emplace_back("confirmed");
    };
    StateFeed feed(loop, { .instance = "e", .failureDomain = FailureDomainId("d"), .seed = 1, .usageInterval = std::chrono::milliseconds(20), .moveDelay = Duration() }, std::move(events));
    feed.start({ seed });
    loop.run();
    CHECK(localInstance.links() == 1);
    CHECK(remoteInstance.links() == 1);
    if (confirms) {
        CHECK(seen == std::vector<std::string> { "version 3", "confirmed" });
        CHECK(feed.attachedInstance() == local);
    } else {
        CHECK(seen.empty());
        CHECK(feed.attachedInstance() == seed);
    }
}
