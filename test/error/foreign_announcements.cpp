/** \file
 * Announcements of services that the configuration does not name, at the addresses of servers that it uses, as seen by directories that
 * know different versions of the configuration.
 */
#include "base/SeededRandom.h"
#include "membership/BackendDirectory.h"
#include "test/fakes/JobBuilder.h"

#include <array>
#include <catch2/catch.hpp>
#include <limits>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

using Outcome = BackendDirectory::Outcome;

constexpr std::uint64_t largest = std::numeric_limits<std::uint64_t>::max();
const BackendId address("10.0.0.1:9");
const std::set<ServiceId> onlyS { ServiceId("s") };
const std::set<ServiceId> sAndT { ServiceId("s"), ServiceId("t") };

BackendRecord announced(const std::string& service, std::uint64_t incarnation, std::uint64_t sequence, BackendState state = BackendState::Serving, const BackendId& id = address)
{
    BackendRecord record;
    record.id = id;
    record.service = ServiceId(service);
    record.serverName = "name-of-" + service;
    record.incarnation = Incarnation(incarnation);
    record.sequence = sequence;
    record.state = state;
    return record;
}

BackendDirectory directoryWith(const std::set<ServiceId>& services, std::size_t maxBytes = 1UL << 20U)
{
    BackendDirectory directory({ .self = InstanceId("a"), .lease = 6s, .maxBytes = maxBytes });
    directory.setServices(services, at(0ms));
    return directory;
}

/** Name of the service of the only server that serves at the address; empty if none does. */
std::string serviceAt(const BackendDirectory& directory)
{
    const auto serving = directory.serving();
    REQUIRE(serving.size() <= 1);
    return serving.empty() ? "" : serving[0].service.value();
}

/** Keeps one record for each address, as entry instances do. */
class Reader {
public:
    void read(const std::vector<BackendRecord>& records)
    {
        for (const auto& it : records) {
            const auto known = m_records.find(it.id);
            if (known == m_records.end() || supersedes(it, known->second))
                m_records[it.id] = it;
        }
    }

    const BackendRecord* find(const BackendId& id) const
    {
        const auto it = m_records.find(id);
        return it == m_records.end() ? nullptr : &it->second;
    }

private:
    std::map<BackendId, BackendRecord> m_records;
};

} // namespace

// Guards against a server that is not used until its next start, because another program announced an unknown service at its address.
TEST_CASE("a server keeps its address whatever is announced there for an unknown service", "[membership]")
{
    auto foreign = GENERATE(announced("x", 9, 1), announced("x", largest, largest), announced("x", 5, largest), announced("x", 1, 1), announced("x", largest, 1, BackendState::Leaving));
    foreign.serverName = GENERATE("name-of-s", "name-of-x");
    const auto comesFirst = GENERATE(true, false);
    auto directory = directoryWith(onlyS);
    if (comesFirst)
        CHECK(directory.announce(foreign, at(0ms)) == Outcome::Pending);
    for (std::uint64_t i = 1; i <= 20; ++i) {
        const auto now = at(static_cast<std::int64_t>(i) * 1000ms);
        CHECK(directory.announce(announced("s", 5, i), now) == Outcome::Accepted);
        CHECK(directory.announce(foreign, now) == Outcome::Pending);
        directory.tick(now);
        CHECK(serviceAt(directory) == "s");
        for (const auto& it : directory.takeTransitions())
            CHECK(it.service == ServiceId("s"));
        for (const auto& it : directory.takeChanges())
            CHECK(it.service == ServiceId("s"));
    }
}

// Guards against the same fault by way of another instance that takes the announcement for a server, as one of an older version does.
TEST_CASE("a record of an unknown service from another instance leaves the server at its address in use", "[membership]")
{
    auto directory = directoryWith(onlyS);
    directory.announce(announced("s", 5, 1), at(0ms));
    const auto state = GENERATE(BackendState::Serving, BackendState::Leaving, BackendState::Lapsed);
    directory.merge(announced("x", 9, 1, state), InstanceId("b"), at(1ms));
    CHECK(serviceAt(directory) == "s");
    Reader reader;
    reader.read(directory.takeChanges());
    CHECK(reader.find(address)->service == ServiceId("s"));
    directory.setPeers({ InstanceId("b"), InstanceId("c") }, at(2ms));
    directory.announce(announced("s", 5, 2), at(3ms));
    CHECK(serviceAt(directory) == "s");
}

TEST_CASE("servers that are announced before the configuration, or before the version that names them, are used with it", "[membership]")
{
    auto directory = directoryWith({});
    CHECK(directory.announce(announced("s", 5, 1), at(0ms)) == Outcome::Pending);
    CHECK(directory.announce(announced("t", 7, 1, BackendState::Serving, BackendId("10.0.0.2:9")), at(0ms)) == Outcome::Pending);
    CHECK(directory.serving().empty());
    directory.setServices(onlyS, at(1s));
    CHECK(serviceAt(directory) == "s");
    CHECK(directory.takeTransitions().size() == 1);
    directory.setServices(sAndT, at(2s));
    CHECK(directory.serving().size() == 2);
    CHECK(directory.takeTransitions().size() == 1);
    CHECK(directory.takeChanges().size() == 2);
    CHECK(directory.pendingCount() == 0);
}

TEST_CASE("a server whose service a version takes away is followed until a later one brings it back", "[membership]")
{
    auto directory = directoryWith(sAndT);
    Reader reader;
    directory.announce(announced("t", 5, 1), at(0ms));
    directory.setServices(onlyS, at(1s));
    CHECK(directory.announce(announced("t", 5, 2), at(2s)) == Outcome::Accepted);
    reader.read(directory.takeChanges());
    CHECK(reader.find(address)->state == BackendState::Serving);
    directory.tick(at(9s));
    reader.read(directory.takeChanges());
    CHECK(reader.find(address)->state == BackendState::Lapsed);
    directory.setServices(sAndT, at(10s));
    CHECK(serviceAt(directory).empty());
    directory.announce(announced("t", 5, 3), at(11s));
    reader.read(directory.takeChanges());
    CHECK(serviceAt(directory) == "t");
    CHECK(reader.find(address)->state == BackendState::Serving);
}

TEST_CASE("an address that is used again belongs to the later start, and a late announcement of the earlier one does not take it back", "[membership]")
{
    auto directory = directoryWith(sAndT);
    directory.announce(announced("s", 5, 4), at(0ms));
    const auto later = GENERATE(as<std::string> {}, "s", "t");
    CHECK(directory.announce(announced(later, 8, 1), at(1s)) == Outcome::Accepted);
    CHECK(serviceAt(directory) == later);
    directory.announce(announced("s", 5, 5), at(2s));
    CHECK(serviceAt(directory) == later);
    CHECK(directory.serving()[0].incarnation == Incarnation(8));
    CHECK(directory.supersededCount() == (later == "t" ? 1 : 0));
    directory.announce(announced(later, 8, 2, BackendState::Leaving), at(3s));
    directory.announce(announced("s", 5, 6), at(4s));
    CHECK(serviceAt(directory).empty());
}

// Guards against requests that go to and fro between two services with each announcement.
TEST_CASE("of two servers of the same start at one address, one has it until its lease has lapsed", "[membership]")
{
    auto directory = directoryWith(sAndT);
    directory.announce(announced("s", 5, 1), at(0ms));
    directory.announce(announced("t", 5, 1), at(0ms));
    const auto holder = serviceAt(directory);
    const std::string other(holder == "s" ? "t" : "s");
    directory.takeChanges();
    for (std::uint64_t i = 2; i <= 10; ++i) {
        directory.announce(announced(i % 2 == 0 ? "s" : "t", 5, i), at(static_cast<std::int64_t>(i) * 1000ms));
        directory.tick(at(static_cast<std::int64_t>(i) * 1000ms));
        CHECK(serviceAt(directory) == holder);
    }
    CHECK(directory.takeChanges().empty());
    directory.announce(announced(other, 5, 11), at(14s));
    directory.tick(at(17s));
    CHECK(serviceAt(directory) == other);
}

// Guards against a server that is lost because its own announcements renew the lease of another service with the same start.
TEST_CASE("announcements renew only the lease of their own service, at the owner too", "[membership]")
{
    const InstanceId names[] { InstanceId("a"), InstanceId("b") };
    BackendDirectory receiver({ .self = names[0], .lease = 6s });
    BackendDirectory owner({ .self = names[1], .lease = 6s });
    receiver.setPeers({ names[1] }, at(0ms));
    owner.setPeers({ names[0] }, at(0ms));
    receiver.setServices(sAndT, at(0ms));
    owner.setServices(sAndT, at(0ms));
    BackendId id("10.0.0.1:9");
    for (int port = 10; owner.ownerOf(id) != names[1]; ++port)
        id = BackendId("10.0.0.1:" + std::to_string(port));
    const auto exchange = [&](TimePoint now) {
        for (const auto& it : receiver.takeTransitions())
            owner.merge(it, names[0], now);
        for (const auto& it : receiver.takeRenewals())
            owner.renew(it, now);
        for (const auto& it : owner.takeTransitions())
            receiver.merge(it, names[1], now);
    };
    const std::string real(GENERATE("s", "t"));
    const std::string foreign(real == "s" ? "t" : "s");
    receiver.announce(announced(real, 5, 1, BackendState::Serving, id), at(0ms));
    receiver.announce(announced(foreign, 5, 1, BackendState::Serving, id), at(100ms));
    for (std::uint64_t i = 1; i <= 40; ++i) {
        const auto now = at(static_cast<std::int64_t>(i) * 1000ms);
        CHECK(receiver.announce(announced(real, 5, 1 + i, BackendState::Serving, id), now) == Outcome::Accepted);
        exchange(now);
        owner.tick(now);
        exchange(now);
        if (i < 8)
            continue;
        CHECK(serviceAt(receiver) == real);
        CHECK(serviceAt(owner) == real);
    }
}

// Guards against a server that is lost to an announcement that was wrong, or of a start that has ended, beyond the lease of that one.
TEST_CASE("a server whose address another service took gets it back once that one's lease has lapsed", "[membership]")
{
    auto directory = directoryWith(sAndT);
    Reader reader;
    directory.announce(announced("s", 5, 1), at(0ms));
    directory.announce(announced("t", largest, largest), at(100ms));
    reader.read(directory.takeChanges());
    CHECK(reader.find(address)->service == ServiceId("t"));
    for (std::uint64_t i = 1; i <= 7; ++i) {
        directory.announce(announced("s", 5, 1 + i), at(static_cast<std::int64_t>(i) * 1000ms));
        directory.tick(at(static_cast<std::int64_t>(i) * 1000ms));
    }
    CHECK(serviceAt(directory) == "s");
    reader.read(directory.takeChanges());
    CHECK(reader.find(address)->service == ServiceId("s"));
    CHECK(reader.find(address)->state == BackendState::Serving);
}

// Guards against refusing servers for want of room that another program took up.
TEST_CASE("announcements of unknown services leave room for servers in use", "[membership]")
{
    const auto size = sizeOf(announced("s", 1, 1));
    auto directory = directoryWith(onlyS, 10 * size);
    const auto announceAt = [&](const std::string& service, int n) { return directory.announce(announced(service, 1, 1, BackendState::Serving, BackendId("10.0.0." + std::to_string(n) + ":9")), at(0ms)); };
    for (int i = 1; i <= 9; ++i)
        CHECK(announceAt("x", i) == (i <= 5 ? Outcome::Pending : Outcome::NoRoom));
    CHECK(announceAt("y", 1) == Outcome::NoRoom);
    for (int i = 1; i <= 9; ++i)
        CHECK(announceAt("s", i) == Outcome::Accepted);
    CHECK(directory.serving().size() == 9);
    CHECK(directory.pendingCount() <= 1);
    directory.tick(at(7s));
    CHECK(directory.pendingCount() == 0);
}

// Guards against requests to a server that has deregistered.
TEST_CASE("a deregistration reaches each server of that name whose start it may mean", "[membership]")
{
    auto directory = directoryWith(sAndT);
    const BackendId elsewhere("10.0.0.2:9");
    auto foreign = announced("x", largest, 1, BackendState::Serving, elsewhere);
    auto other = announced("t", largest, 1, BackendState::Serving, BackendId("10.0.0.3:9"));
    foreign.serverName = other.serverName = "name-of-s";
    directory.announce(foreign, at(0ms));
    directory.announce(other, at(0ms));
    directory.announce(announced("s", 5, 1), at(0ms));
    CHECK_FALSE(directory.retire("name-of-s", Incarnation(4), at(1s)));
    CHECK(directory.serving().size() == 2);
    CHECK(directory.retire("name-of-s", Incarnation(5), at(1s)));
    CHECK(serviceAt(directory) == "t");
    directory.announce(announced("s", 5, 9), at(2s));
    CHECK(serviceAt(directory) == "t");
    CHECK(directory.announce(announced("s", 6, 1), at(3s)) == Outcome::Accepted);
    CHECK(directory.serving().size() == 2);
    CHECK_FALSE(directory.retire("name-of-nobody", std::nullopt, at(4s)));
}

// Guards against entry instances that use another server than the directory has in force, or none.
TEST_CASE("a reader that follows the changes holds what is in force at each address", "[membership]")
{
    const auto seed = GENERATE(range<std::uint64_t>(1, 301));
    CAPTURE(seed);
    SeededRandom random(seed);
    auto directory = directoryWith(sAndT);
    Reader reader;
    std::uint64_t sequence = 0;
    for (int step = 1; step <= 60; ++step) {
        const auto now = at(step * 700ms);
        const auto* const service = std::array { "s", "t", "x" }[random.below(3)];
        const auto state = random.below(8) == 0 ? BackendState::Leaving : BackendState::Serving;
        const BackendId id("10.0.0." + std::to_string(1 + random.below(3)) + ":9");
        directory.announce(announced(service, 1 + random.below(static_cast<std::uint64_t>(step)), ++sequence, state, id), now);
        if (random.below(3) == 0)
            directory.tick(now);
        reader.read(directory.takeChanges());
        for (const auto& it : directory.inForce()) {
            REQUIRE(reader.find(it.id));
            CHECK(reader.find(it.id)->service == it.service);
            CHECK(reader.find(it.id)->state == it.state);
            CHECK(reader.find(it.id)->incarnation == it.incarnation);
        }
    }
}
