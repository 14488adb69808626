/** \file
 * Backend servers join, leave, lapse and return, as seen by several instances that are partitioned and reconnected.
 */
#include "membership/BackendDirectory.h"
#include "test/fakes/JobBuilder.h"

#include <catch2/catch.hpp>
#include <memory>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

BackendRecord record(std::uint64_t incarnation, std::uint64_t sequence, BackendState state = BackendState::Serving)
{
    BackendRecord backend;
    backend.id = BackendId("10.0.0.1:9");
    backend.incarnation = Incarnation(incarnation);
    backend.sequence = sequence;
    backend.state = state;
    backend.service = ServiceId("s");
    return backend;
}

/** Directories of three instances, of which one can be isolated. */
struct Fleet {
    explicit Fleet()
    {
        for (const auto* name : { "a", "b", "c" })
            nodes.push_back(std::make_unique<BackendDirectory>(BackendDirectory::Options { .self = InstanceId(name) }));
        updatePeers(at(0ms));
    }

    InstanceId nameOf(std::size_t i) const { return InstanceId(std::string(1, static_cast<char>('a' + i))); }
    bool isConnected(std::size_t i, std::size_t j) const { return i != j && (isolatedNode == nodes.size() || (i != isolatedNode && j != isolatedNode)); }

    /** Tells each directory which peers it can reach. */
    void updatePeers(TimePoint now)
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            std::set<InstanceId> peers;
            for (std::size_t j = 0; j < nodes.size(); ++j) {
                if (isConnected(i, j))
                    peers.insert(nameOf(j));
            }
            nodes[i]->setPeers(peers, now);
        }
    }

    /** Advances each directory to `now` and delivers its pending records and renewals to the reachable ones. */
    void exchange(TimePoint now)
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            nodes[i]->tick(now);
            const auto records = nodes[i]->takeTransitions();
            const auto renewals = nodes[i]->takeRenewals();
            for (std::size_t j = 0; j < nodes.size(); ++j) {
                if (!isConnected(i, j))
                    continue;
                for (const auto& it : records)
                    nodes[j]->merge(it, nameOf(i), now);
                for (const auto& it : renewals) {
                    if (nodes[i]->ownerOf(it.id) == nameOf(j))
                        nodes[j]->renew(it, now);
                }
            }
        }
    }

    /** Reconnects all instances; each sends all its records to the others. */
    void heal(TimePoint now)
    {
        isolatedNode = nodes.size();
        updatePeers(now);
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            for (std::size_t j = 0; j < nodes.size(); ++j) {
                for (const auto& it : nodes[i]->all())
                    nodes[j]->merge(it, nameOf(i), now);
            }
        }
        exchange(now);
        exchange(now);
    }

    std::vector<std::unique_ptr<BackendDirectory>> nodes;
    std::size_t isolatedNode = 3; // Index of the isolated instance; 3 means none.
};

} // namespace

TEST_CASE("a join and a leave are known to all instances after one exchange", "[membership]")
{
    Fleet fleet;
    fleet.nodes[0]->announce(record(1, 1), at(0ms));
    fleet.exchange(at(10ms));
    for (const auto& it : fleet.nodes)
        CHECK(it->serving().size() == 1);
    fleet.nodes[1]->announce(record(1, 2, BackendState::Leaving), at(20ms));
    fleet.exchange(at(30ms));
    for (const auto& it : fleet.nodes)
        CHECK(it->serving().empty());
}

TEST_CASE("a late or replayed announcement does not revive a server that has left, but a new incarnation does", "[membership]")
{
    Fleet fleet;
    fleet.nodes[0]->announce(record(1, 5, BackendState::Leaving), at(0ms));
    CHECK(fleet.nodes[0]->announce(record(1, 9), at(1ms)) == BackendDirectory::Outcome::Stale);
    fleet.exchange(at(2ms));
    CHECK(fleet.nodes[2]->announce(record(1, 10), at(3ms)) == BackendDirectory::Outcome::Stale);
    CHECK(fleet.nodes[2]->announce(record(2, 1), at(4ms)) == BackendDirectory::Outcome::Accepted);
    fleet.exchange(at(5ms));
    CHECK(fleet.nodes[0]->serving().size() == 1);
}

TEST_CASE("renewals through any instance keep a server serving, and all instances see its lapse within 3 s", "[membership]")
{
    Fleet fleet;
    std::uint64_t sequence = 0;
    auto now = at(0ms);
    for (int i = 0; i < 20; ++i, now += 500ms) {
        fleet.nodes[static_cast<std::size_t>(i) % 3]->announce(record(1, ++sequence), now);
        fleet.exchange(now);
        for (const auto& it : fleet.nodes)
            REQUIRE(it->serving().size() == 1);
    }
    const auto silentSince = now;
    for (; now <= silentSince + 3s; now += 100ms)
        fleet.exchange(now);
    for (const auto& it : fleet.nodes)
        CHECK(it->serving().empty());
}

TEST_CASE("an isolated instance declares a lapse, but removes no serving server when it reconnects", "[membership]")
{
    const auto isolated = GENERATE(as<std::size_t> {}, 0, 1, 2);
    CAPTURE(isolated);
    Fleet fleet;
    std::uint64_t sequence = 0;
    fleet.nodes[0]->announce(record(1, ++sequence), at(0ms));
    fleet.exchange(at(0ms));
    fleet.isolatedNode = isolated;
    fleet.updatePeers(at(100ms));
    const auto connected = (isolated + 1) % 3;
    auto now = at(100ms);
    for (int i = 0; i < 60; ++i, now += 100ms) {
        if (i % 5 == 0)
            fleet.nodes[connected]->announce(record(1, ++sequence), now);
        fleet.exchange(now);
    }
    CHECK(fleet.nodes[isolated]->serving().empty());
    CHECK(fleet.nodes[connected]->serving().size() == 1);
    fleet.nodes[connected]->announce(record(1, ++sequence), now);
    fleet.exchange(now);
    fleet.heal(now);
    for (const auto& it : fleet.nodes)
        CHECK(it->serving().size() == 1);
}

TEST_CASE("a server that left during a partition stays removed after the partition heals", "[membership]")
{
    const auto isolated = GENERATE(as<std::size_t> {}, 0, 1, 2);
    CAPTURE(isolated);
    Fleet fleet;
    fleet.nodes[0]->announce(record(1, 1), at(0ms));
    fleet.exchange(at(0ms));
    fleet.isolatedNode = isolated;
    fleet.updatePeers(at(100ms));
    fleet.nodes[(isolated + 1) % 3]->announce(record(1, 2, BackendState::Leaving), at(200ms));
    fleet.exchange(at(200ms));
    fleet.heal(at(400ms));
    for (const auto& it : fleet.nodes)
        CHECK(it->serving().empty());
}
