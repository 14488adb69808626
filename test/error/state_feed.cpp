/** \file
 * How an entry instance finds a state instance that can confirm its configuration, when others cannot.
 */
#include "links/Link.h"
#include "net/Listener.h"
#include "node/StateFeed.h"
#include "wire/gen/hickoryhollow_types.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

using namespace HickoryHollow;

namespace {

/** A state instance as far as a feed sees it. */
class FakeHome {
public:
    FakeHome(asio::io_context& loop, const std::string& address, bool confirms)
        : m_confirms(confirms)
    {
        asio::co_spawn(loop, acceptLoop(openListener(loop, address)), asio::detached);
    }

    int polls() const { return m_polls; }

private:
    Task<void> acceptLoop(Acceptor acceptor)
    {
        for (;;) {
            auto [ec, socket] = co_await acceptor.async_accept(asTuple);
            if (ec)
                co_return;
            const auto link = std::make_shared<Link>(std::move(socket), LinkOptions {});
            m_links.push_back(link);
            link->start([this, link](const auto& message) { take(*link, message); }, [] {});
        }
    }

    void take(Link& link, const Wire::LinkMessage& message)
    {
        if (!message.__isset.freshnessPoll)
            return;
        ++m_polls;
        Wire::FreshnessReply reply;
        reply.id = message.freshnessPoll.id;
        reply.confirmed = m_confirms;
        Wire::LinkMessage answer;
        answer.__set_freshnessReply(reply);
        link.send(answer);
    }

    bool m_confirms;
    int m_polls = 0;
    std::vector<std::shared_ptr<Link>> m_links;
};

StateFeed::Events silentEvents()
{
    return {
        .routing = [](const auto&) {},
        .confirmed = [](auto, auto) {},
        .backends = [](const auto&) {},
        .uses = [](const auto&) {},
        .ownUses = [] { return UseReport {}; },
        .keptPrompts = [](const auto&) {},
        .ownKeptPrompts = [] { return std::vector<KeptPromptNews> {}; },
        .held = [] { return RoutingVersion(0); },
        .entryInstances = [](auto) {},
    };
}

} // namespace

TEST_CASE("a home that cannot confirm and never did is left after its first word", "[state][loopback]")
{
    asio::io_context loop(1);
    const std::vector<InstanceId> addresses { InstanceId("127.0.0.1:7951"), InstanceId("127.0.0.1:7952"), InstanceId("127.0.0.1:7953") };
    const auto sound = GENERATE(0U, 1U, 2U);
    std::vector<std::unique_ptr<FakeHome>> homes;
    for (std::size_t i = 0; i < addresses.size(); ++i)
        homes.push_back(std::make_unique<FakeHome>(loop, addresses[i].value(), i == sound));
    auto events = silentEvents();
    events.confirmed = [&loop](auto, auto) { loop.stop(); };
    StateFeed feed(loop, { .instance = "e", .failureDomain = FailureDomainId("d"), .seed = 1 }, std::move(events));
    feed.start(addresses);
    loop.run();
    for (std::size_t i = 0; i < homes.size(); ++i)
        CHECK(homes[i]->polls() <= 1);
    CHECK(feed.home() == addresses[sound]);
}
