/** \file
 * How entry instances learn of each other: what state instances know of them, whom they select for each, and what is sent.
 */
#include "links/EntryAddressBook.h"
#include "links/EntryAddressCodec.h"
#include "links/StateMesh.h"
#include "node/StateFeed.h"
#include "test/fakes/LoopbackDeployment.h"
#include "wire/ThriftCodec.h"
#include "wire/gen/hickoryhollow_types.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace HickoryHollow;
using namespace std::chrono_literals;

namespace {

const TimePoint start(1h);
constexpr int firstPort = 7640;
const std::string configuration = R"({"version":3,"routes":[],"services":[{"name":"s"}],"tenants":[]})";

/** Entry instance `i` of a deployment whose instances are spread over the failure domains. */
EntryAddress entry(int i, int domains)
{
    return { .listen = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":7001", .failureDomain = FailureDomainId("zone-" + std::to_string(i % domains)) };
}

std::vector<EntryAddress> entries(int count, int domains)
{
    std::vector<EntryAddress> list;
    list.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        list.push_back(entry(i, domains));
    return list;
}

/** The book of a state instance to which every fifth entry instance is attached, and the others to four more. */
EntryAddressBook bookOf(const std::vector<EntryAddress>& all)
{
    EntryAddressBook book;
    std::map<std::string, std::vector<EntryAddress>> lists;
    for (std::size_t i = 0; i < all.size(); ++i)
        lists[i % 5 == 0 ? "entry-" + std::to_string(i) : "state-" + std::to_string(i % 5)].push_back(all[i]);
    for (const auto& [source, list] : lists)
        book.set(source, list);
    return book;
}

std::set<std::string> namesOf(const std::vector<EntryAddress>& addresses)
{
    std::set<std::string> names;
    for (const auto& it : addresses)
        names.insert(it.listen);
    return names;
}

std::set<std::string> selected(const EntryAddressBook& book, const EntryAddress& receiver)
{
    return namesOf(book.selectionFor(receiver.listen, receiver.failureDomain));
}

std::size_t missingFrom(const std::set<std::string>& names, const std::set<std::string>& others)
{
    return static_cast<std::size_t>(std::count_if(names.begin(), names.end(), [&others](const auto& it) { return !others.contains(it); }));
}

/** Address on loopback at that many ports from the first of the deployment. */
std::string address(int offset)
{
    return "127.0.0.1:" + std::to_string(firstPort + offset);
}

/** Attaches an entry instance that accepts relayed requests to the state instance of a LoopbackDeployment. */
std::unique_ptr<StateFeed> makeFeed(asio::io_context& loop, const std::string& relayListen, std::function<void(const std::vector<EntryAddress>&)> relayTargets)
{
    StateFeed::Events events {
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
        .relayTargets = std::move(relayTargets),
    };
    auto feed = std::make_unique<StateFeed>(loop, StateFeed::Options { .instance = "feed-" + relayListen, .failureDomain = FailureDomainId("a"), .relayListen = relayListen, .seed = 1 }, std::move(events));
    feed->start({ InstanceId(address(0)) });
    return feed;
}

} // namespace

TEST_CASE("a selection has instances of the own failure domain first, then as many of each other one, and never the receiver", "[relays]")
{
    const auto domains = GENERATE(3, 4, 5);
    const auto count = GENERATE(9, 300);
    CAPTURE(domains, count);
    const auto all = entries(count, domains);
    const auto book = bookOf(all);
    std::map<std::string, std::size_t> sizes;
    for (const auto& it : all)
        ++sizes[it.failureDomain.value()];
    for (const auto& receiver : all) {
        const auto selection = book.selectionFor(receiver.listen, receiver.failureDomain);
        CHECK(std::none_of(selection.begin(), selection.end(), [&](const auto& it) { return it.listen == receiver.listen; }));
        CHECK(selected(book, receiver).size() == selection.size());
        const auto isOwn = [&](const auto& it) { return it.failureDomain == receiver.failureDomain; };
        CHECK(std::is_partitioned(selection.begin(), selection.end(), isOwn));
        const auto own = static_cast<std::size_t>(std::count_if(selection.begin(), selection.end(), isOwn));
        CHECK(own == std::min<std::size_t>(4, sizes[receiver.failureDomain.value()] - 1));
        CHECK(selection.size() - own == std::min<std::size_t>(8, all.size() - sizes[receiver.failureDomain.value()]));

        std::map<std::string, std::size_t> perDomain;
        for (const auto& it : selection)
            ++perDomain[it.failureDomain.value()];
        const auto even = std::size_t { 8 } / static_cast<std::size_t>(domains - 1);
        for (const auto& [domain, size] : sizes) {
            if (domain == receiver.failureDomain.value())
                continue;
            CHECK(perDomain[domain] >= std::min(size, even));
            if (count == 300)
                CHECK(perDomain[domain] <= even + 1);
        }
    }
}

TEST_CASE("each of nine entry instances knows all others if its failure domain holds at most five", "[relays]")
{
    const auto all = entries(9, GENERATE(3, 4, 5));
    const auto book = bookOf(all);
    for (const auto& it : all)
        CHECK(selected(book, it).size() == 8);
}

TEST_CASE("entry instances of a large deployment are selected about equally often", "[relays]")
{
    const auto domains = GENERATE(3, 4, 5);
    CAPTURE(domains);
    const auto all = entries(300, domains);
    const auto book = bookOf(all);
    std::map<std::string, int> times;
    std::map<std::string, int> timesByOwnDomain;
    for (const auto& receiver : all) {
        for (const auto& it : book.selectionFor(receiver.listen, receiver.failureDomain)) {
            ++times[it.listen];
            if (it.failureDomain == receiver.failureDomain)
                ++timesByOwnDomain[it.listen];
        }
    }
    // Independent selections: a mean of 12 with a standard deviation of about 3.4, and of 4 with 2.
    for (const auto& it : all) {
        CAPTURE(it.listen);
        CHECK(times[it.listen] >= 2);
        CHECK(times[it.listen] <= 28);
        CHECK(timesByOwnDomain[it.listen] <= 14);
    }
    const auto within = std::count_if(times.begin(), times.end(), [](const auto& it) { return it.second >= 6 && it.second <= 18; });
    CHECK(within >= 270);
}

TEST_CASE("an entry instance that joins or leaves changes one item of the selections that hold it", "[relays]")
{
    const auto domains = GENERATE(3, 4, 5);
    const auto moving = GENERATE(0, 57, 149, 299);
    CAPTURE(domains, moving);
    const auto all = entries(300, domains);
    auto others = all;
    others.erase(others.begin() + moving);
    const auto with = bookOf(all);
    const auto without = bookOf(others);
    const auto& name = all[static_cast<std::size_t>(moving)].listen;
    int changed = 0;
    for (const auto& receiver : others) {
        const auto before = selected(without, receiver);
        const auto after = selected(with, receiver);
        CHECK(missingFrom(after, before) == (after.contains(name) ? 1 : 0));
        CHECK(missingFrom(before, after) == (after.contains(name) ? 1 : 0));
        CHECK_FALSE(before.contains(name));
        changed += after.contains(name) ? 1 : 0;
        if (!after.contains(name))
            CHECK(with.selectionFor(receiver.listen, receiver.failureDomain) == without.selectionFor(receiver.listen, receiver.failureDomain));
    }
    CHECK(changed >= 1);
    CHECK(changed <= 28);
}

TEST_CASE("an entry instance that two sources list for a moment appears once", "[relays]")
{
    EntryAddressBook book;
    const auto moved = entry(1, 3);
    const auto receiver = entry(0, 3);
    book.set("state-a", { moved, entry(2, 3) });
    book.set("entry-7", { moved });
    CHECK(selected(book, receiver).size() == 2);
    CHECK(book.selectionFor(receiver.listen, receiver.failureDomain).size() == 2);
    CHECK(book.listedBy({}).size() == 2);
    CHECK(book.listedBy("entry-") == std::vector { moved });
    book.set("state-a", { entry(2, 3) });
    CHECK(selected(book, receiver) == std::set { moved.listen, entry(2, 3).listen });
    book.remove("entry-7");
    CHECK(selected(book, receiver) == std::set { entry(2, 3).listen });
}

TEST_CASE("an entry instance that two sources list in different failure domains counts where it is attached here", "[relays]")
{
    EntryAddressBook book;
    auto old = entry(1, 3);
    old.failureDomain = FailureDomainId("zone-2");
    book.set("state-a", { old });
    book.set("entry-7", { entry(1, 3) });
    CHECK(book.listedBy({}) == std::vector { entry(1, 3) });
}

TEST_CASE("the list of a lost state instance is kept for five seconds, unless it comes again", "[relays]")
{
    EntryAddressBook book;
    const auto receiver = entry(0, 3);
    book.set("state-a", entries(9, 3));
    book.lose("state-a", start);
    book.lose("state-a", start + 4s); // The first loss counts.
    book.lose("state-unknown", start);
    book.expire(start + 5s);
    CHECK(selected(book, receiver).size() == 8);
    SECTION("it does not come again")
    {
        const auto revision = book.revision();
        book.expire(start + 5001ms);
        CHECK(selected(book, receiver).empty());
        CHECK(book.revision() != revision);
    }
    SECTION("it comes again")
    {
        book.set("state-a", entries(9, 3));
        book.expire(start + 1h);
        CHECK(selected(book, receiver).size() == 8);
        book.lose("state-a", start + 1h);
        book.expire(start + 1h + 5001ms);
        CHECK(selected(book, receiver).empty());
    }
}

TEST_CASE("the revision of a book of addresses changes with its contents only", "[relays]")
{
    EntryAddressBook book;
    const auto empty = book.revision();
    book.set("state-a", {});
    book.remove("state-b");
    book.expire(start);
    CHECK(book.revision() == empty);
    book.set("state-a", entries(9, 3));
    const auto filled = book.revision();
    CHECK(filled != empty);
    book.set("state-a", entries(9, 3));
    book.lose("state-a", start);
    book.expire(start + 1s);
    CHECK(book.revision() == filled);
    book.remove("state-a");
    CHECK(book.revision() != filled);
}

TEST_CASE("addresses that cannot be dialled are dropped, and the number from one source is bounded", "[relays]")
{
    const FailureDomainId domain("a");
    EntryAddressBook book;
    std::vector<EntryAddress> odd;
    for (const auto* it : { "", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "host:7001", "0.0.0.0:7001", "[::]:7001", "10.0.0.1:7001 ", "10.0.0.256:7001" })
        odd.push_back({ .listen = it, .failureDomain = domain });
    odd.push_back({ .listen = "10.0.0.1:" + std::string(1000, '0') + "1", .failureDomain = domain });
    odd.push_back({ .listen = "10.0.0.1:7001", .failureDomain = FailureDomainId(std::string(1000, 'd')) });
    book.set("state-a", odd);
    CHECK(book.listedBy({}).empty());
    odd.push_back({ .listen = "10.0.0.1:7001", .failureDomain = domain });
    odd.push_back({ .listen = "[fe80::1]:7001", .failureDomain = domain });
    book.set("state-a", odd);
    CHECK(book.listedBy({}).size() == 2);
    CHECK(fromWire(toWire(odd)).size() == 2);

    book.set("state-a", entries(3000, 3));
    book.set("state-b", { { .listen = "10.1.0.1:7001", .failureDomain = domain } });
    CHECK(book.listedBy("state-a").size() == maxEntryAddresses);
    CHECK(book.listedBy({}).size() == maxEntryAddresses + 1);
    CHECK(fromWire(toWire(entries(3000, 3))).size() == maxEntryAddresses);
}

TEST_CASE("addresses of entry instances survive their encoding, in few bytes", "[relays][codec]")
{
    const auto encoded = [](const std::vector<EntryAddress>& addresses) {
        Wire::LinkMessage message;
        message.__set_entryAddresses(toWire(addresses));
        return encodeThrift(message);
    };
    for (const auto& list : { entries(0, 3), entries(1, 3), entries(300, 5) }) {
        const auto message = decodeThrift<Wire::LinkMessage>(encoded(list));
        REQUIRE(message);
        REQUIRE(message->__isset.entryAddresses);
        CHECK(fromWire(message->entryAddresses) == list);
    }
    const auto all = entries(300, 5);
    const auto book = bookOf(all);
    for (const auto& it : all)
        CHECK(encoded(book.selectionFor(it.listen, it.failureDomain)).size() <= 400);
}

TEST_CASE("a hello without an address for relayed requests and a message of an unknown type can be read", "[relays][codec]")
{
    Wire::LinkHello hello;
    hello.instance = "e";
    const auto former = decodeThrift<Wire::LinkHello>(encodeThrift(hello));
    REQUIRE(former);
    CHECK_FALSE(former->__isset.relayListen);
    CHECK(former->relayListen.empty());
    hello.__set_relayListen("10.0.0.1:7001");
    CHECK(decodeThrift<Wire::LinkHello>(encodeThrift(hello)) == hello);

    // Read by a structure that knows the first fields only, as a former version does with a hello.
    const auto address = decodeThrift<Wire::StateAddress>(encodeThrift(hello));
    REQUIRE(address);
    CHECK(address->listen == "e");

    namespace thrift = apache::thrift;
    const auto buf = std::make_shared<thrift::transport::TMemoryBuffer>();
    thrift::protocol::TCompactProtocol protocol(buf);
    protocol.writeFieldBegin("", thrift::protocol::T_STRUCT, 99);
    toWire(entries(2, 3)).write(&protocol);
    protocol.writeFieldEnd();
    protocol.writeFieldStop();
    const auto unknown = decodeThrift<Wire::LinkMessage>(buf->getBufferAsString());
    REQUIRE(unknown);
    CHECK(*unknown == Wire::LinkMessage());
}

TEST_CASE("entry instances attached to one state instance learn each other's addresses", "[platform][relays][loopback]")
{
    const Fakes::LoopbackDeployment deployment({ .name = "relays", .firstPort = firstPort, .configuration = configuration, .servers = {} });
    asio::io_context loop(1);
    // The addresses that the two entry instances of the deployment name, and those of two feeds beside them.
    const std::set<std::string> awaited { address(4), address(7), address(30), address(31) };
    std::map<std::string, std::set<std::string>> learned; // By the address of the feed, which is in the set too.
    std::vector<std::unique_ptr<StateFeed>> feeds;
    for (const auto& own : { address(30), address(31) }) {
        feeds.push_back(makeFeed(loop, own, [&, own](const auto& targets) {
            CHECK_FALSE(namesOf(targets).contains(own));
            CHECK(std::all_of(targets.begin(), targets.end(), [](const auto& it) { return it.failureDomain == FailureDomainId("a"); }));
            learned[own] = namesOf(targets);
            learned[own].insert(own);
            if (learned.size() == 2 && std::all_of(learned.begin(), learned.end(), [&](const auto& it) { return it.second == awaited; }))
                loop.stop();
        }));
    }
    loop.run();
    CHECK(learned[address(30)] == awaited);
    CHECK(learned[address(31)] == awaited);
}

TEST_CASE("state instances exchange the addresses of the entry instances attached to them", "[platform][relays][loopback]")
{
    const Fakes::LoopbackDeployment deployment({ .name = "relays", .firstPort = firstPort, .configuration = configuration, .servers = {} });
    asio::io_context loop(1);
    const EntryAddress far { .listen = "10.0.0.1:7001", .failureDomain = FailureDomainId("b") };
    std::set<std::string> received;
    std::set<std::string> learned;
    const auto stopWhenDone = [&] {
        if (received == std::set { address(4), address(7), address(30) } && learned == std::set { address(4), address(7), far.listen })
            loop.stop();
    };
    // Stands for a second state instance, to which one entry instance of another failure domain is attached.
    std::unique_ptr<StateMesh> mesh;
    mesh = std::make_unique<StateMesh>(loop, StateMesh::Options { .listen = address(32), .bind = {}, .instance = "s2", .failureDomain = FailureDomainId("b") },
        StateMesh::Events {
            .stateMessage = [&](const auto&, const auto& message) {
                if (!message.__isset.entryAddresses)
                    return;
                received = namesOf(fromWire(message.entryAddresses));
                stopWhenDone(); },
            .entryMessage = [](auto, const auto&) {},
            .entryJoined = [](auto, const auto&) {},
            .entryLeft = [](auto) {},
            .stateJoined = [&](const auto& id) {
                Wire::LinkMessage message;
                message.__set_entryAddresses(toWire({ far }));
                mesh->sendToState(id, message); },
            .stateLeft = [](const auto&) {},
            .stateSilent = [](const auto&) {},
        });
    mesh->setSeeds({ InstanceId(address(0)) });
    const auto feed = makeFeed(loop, address(30), [&](const auto& targets) {
        learned = namesOf(targets);
        stopWhenDone();
    });
    loop.run();
    CHECK(received == std::set { address(4), address(7), address(30) });
    CHECK(learned == std::set { address(4), address(7), far.listen });
}
