/** \file
 * Replays a storm of changes to a large configuration against the broadcast to hundreds of entry instances behind slow
 * links: memory is bounded, and the newest version arrives within the operator's bound.
 */
#include "links/LinkQueue.h"
#include "node/RoutingBroadcast.h"
#include "node/RoutingDeltaCodec.h"
#include "wire/LedgerCodec.h"
#include "wire/ThriftCodec.h"
#include "wire/gen/hickoryhollow_types.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace HickoryHollow;

namespace {

constexpr std::size_t links = 350;
constexpr std::size_t textBytes = 283'000;
constexpr std::size_t stepMilliseconds = 5;
constexpr std::size_t stepsPerVersion = 25 / stepMilliseconds; // 40 versions a second.
constexpr std::size_t bytesPerStep = 10'000'000 / 8 * stepMilliseconds / 1000; // 10 Mbit/s.
constexpr std::size_t stormSteps = 4000 / stepMilliseconds;
constexpr std::size_t applySteps = 3000 / stepMilliseconds; // The platform's `config-apply-ms`.
// Of a state instance's 256 MB, half is for its replicated state and its other work.
constexpr std::size_t maxBytes = 128UL << 20U;

std::shared_ptr<const RoutingDocument> document(std::uint64_t version, bool isRewritten)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",";
    // A rewritten text has no block in common with that of another version.
    const auto salt = isRewritten ? std::to_string(version) + "-" : std::string();
    for (std::size_t i = 0; text.size() < textBytes; ++i)
        text += salt + std::to_string(i) + ",";
    return std::make_shared<const RoutingDocument>(RoutingDocument { .version = RoutingVersion(version), .text = std::move(text) });
}

/** An entry instance at the end of a slow link. */
class SlowEntry {
public:
    SlowEntry(RoutingBroadcast& broadcast, EntryLinkId id)
        : m_broadcast(broadcast)
        , m_id(id)
    {
    }

    void notify()
    {
        m_queue.pushLatest(LinkSubject::Routing, [this] { return m_broadcast.takeFrame(m_id); });
    }

    /** Transfers as many bytes as the link can in one step. */
    void step()
    {
        auto left = bytesPerStep;
        while (left > 0) {
            if (m_inTransit.empty()) {
                m_inTransit = m_queue.take(1);
                m_sentBytes = 0;
            }
            if (m_inTransit.empty())
                return;
            const auto n = std::min(left, m_inTransit.front()->size() - m_sentBytes);
            m_sentBytes += n;
            left -= n;
            if (m_sentBytes < m_inTransit.front()->size())
                return;
            receive(*m_inTransit.front());
            m_inTransit.clear();
        }
    }

    void collectFrames(std::set<SharedFrame>& frames) const { frames.insert(m_inTransit.begin(), m_inTransit.end()); }
    std::size_t queuedBytes() const { return m_queue.queuedBytes(); }
    const RoutingDocument& held() const { return m_held; }

private:
    void receive(const std::string& frame)
    {
        constexpr std::size_t lengthPrefix = 4;
        const auto message = decodeThrift<Wire::LinkMessage>(std::string_view(frame).substr(lengthPrefix));
        REQUIRE(message);
        if (message->__isset.routing) {
            m_held = fromWire(message->routing);
            return;
        }
        const auto next = applyDelta(m_held, fromWire(message->routingDelta));
        REQUIRE(next);
        m_held = *next;
    }

    RoutingBroadcast& m_broadcast;
    EntryLinkId m_id;
    LinkQueue m_queue;
    std::vector<SharedFrame> m_inTransit; // At most one frame.
    std::size_t m_sentBytes = 0; // Of the frame in transit.
    RoutingDocument m_held;
};

} // namespace

TEST_CASE("a storm of large configurations keeps memory bounded and the newest version in time", "[state][load]")
{
    const auto isRewritten = GENERATE(false, true);
    CAPTURE(isRewritten);
    RoutingBroadcast broadcast;
    std::vector<std::unique_ptr<SlowEntry>> entries;
    for (std::size_t i = 0; i < links; ++i) {
        entries.push_back(std::make_unique<SlowEntry>(broadcast, EntryLinkId(i)));
        broadcast.setHeld(EntryLinkId(i), RoutingVersion(0), false);
    }
    std::uint64_t version = 0;
    std::size_t peakBytes = 0;
    for (std::size_t step = 0; step < stormSteps + applySteps; ++step) {
        if (step < stormSteps && step % stepsPerVersion == 0) {
            broadcast.publish(document(++version, isRewritten));
            for (const auto& it : broadcast.dueLinks())
                entries[it.value()]->notify();
        }
        for (const auto& it : entries)
            it->step();
        std::set<SharedFrame> frames;
        auto bytes = broadcast.keptBytes();
        for (const auto& it : entries) {
            it->collectFrames(frames);
            bytes += it->queuedBytes();
        }
        for (const auto& it : frames)
            bytes += it->size();
        peakBytes = std::max(peakBytes, bytes);
    }
    CHECK(peakBytes <= maxBytes);
    const auto newest = document(version, isRewritten);
    for (const auto& it : entries)
        REQUIRE(it->held() == *newest);
}

TEST_CASE("a link is sent nothing before its entry instance reported what it holds, and then only what it lacks", "[state]")
{
    RoutingBroadcast broadcast;
    const EntryLinkId link(1);
    broadcast.publish(document(5, false));
    CHECK(broadcast.dueLinks().empty());
    broadcast.setHeld(link, RoutingVersion(5), false);
    CHECK_FALSE(broadcast.isDue(link));
    broadcast.publish(document(6, false));
    const auto delta = broadcast.takeFrame(link);
    REQUIRE(delta);
    CHECK(delta->size() < 1000);
    CHECK_FALSE(broadcast.takeFrame(link));
    // The poll was sent before the difference arrived.
    broadcast.setHeld(link, RoutingVersion(5), false);
    CHECK_FALSE(broadcast.isDue(link));
    broadcast.setHeld(link, RoutingVersion(5), true);
    const auto whole = broadcast.takeFrame(link);
    REQUIRE(whole);
    CHECK(whole->size() > textBytes);
    broadcast.remove(link);
    broadcast.publish(document(7, false));
    CHECK_FALSE(broadcast.isDue(link));
}

TEST_CASE("queued frames go first and in order, and a subject's newest state replaces one that waits", "[state]")
{
    LinkQueue queue;
    const auto frame = [](const std::string& text) { return std::make_shared<const std::string>(text); };
    queue.push(frame("first"));
    queue.pushLatest(LinkSubject::Usage, [&] { return frame("usage 1"); });
    queue.pushLatest(LinkSubject::Routing, [] { return SharedFrame(); });
    queue.pushLatest(LinkSubject::Usage, [&] { return frame("usage 2"); });
    queue.push(frame("second"));
    CHECK(queue.queuedBytes() == 11);
    CHECK(queue.take(5).size() == 1);
    CHECK(*queue.take(100).front() == "second");
    CHECK(queue.queuedBytes() == 0);
    CHECK(*queue.take(100).front() == "usage 2");
    CHECK(queue.take(100).empty());
    CHECK(queue.isEmpty());
}
