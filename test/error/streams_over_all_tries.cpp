/** \file
 * Searches, from printed seeds, for a stream whose caller gets something else over all its tries than the events of one version, each
 * once and in order, and an end as complete only after the last.
 */
#include "forwarding/RelayedRequest.h"
#include "test/fakes/CountedStream.h"
#include "test/fakes/RoutedBench.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <map>
#include <optional>
#include <set>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t firstSeed = 1;
constexpr int seeds = 20000;
constexpr int maxTries = 5;
const std::vector<std::string> servers { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.6:1" };
const std::vector<std::string> peers { "10.0.9.1:7000", "10.0.9.2:7000" };

/** What the caller holds of the stream: the number of its events, and the version that wrote them. */
struct Held {
    std::uint64_t events = 0;
    std::string version;
    std::string fault; ///< What is wrong with the events; empty if nothing is.
};

/** Takes the whole events of an answer that goes on after what is held. */
void take(Held& held, std::string_view text)
{
    for (auto end = text.find("\n\n"); end != std::string_view::npos; end = text.find("\n\n")) {
        auto event = std::string(text.substr(0, end + 2));
        text.remove_prefix(end + 2);
        if (event.starts_with(": between"))
            continue;
        if (event.starts_with(": within\n"))
            event.erase(0, event.find('\n') + 1);
        const auto data = event.find("data: ");
        const auto version = data == std::string::npos ? "" : event.substr(data + 6, 3);
        if (held.events == 0)
            held.version = version;
        ++held.events;
        if (event != countedEvents(held.events, held.events, held.version))
            held.fault += "event " + std::to_string(held.events) + " of " + held.version + " is " + event;
    }
}

/** What happened in all plays, so that a search that meets nothing is seen. */
struct Tally {
    int whole = 0;
    int cut = 0;
    int takenUp = 0;
    int goneOn = 0;
    int replaced = 0;
    int relayed = 0;
    int emptyEnds = 0;
    int startedAgain = 0;
};

/** One stream with its servers, its other instances and its caller. */
class Play {
public:
    enum class Restarts { Announced,
        Unannounced };

    Play(std::uint64_t seed, Restarts restarts, Tally& tally)
        : m_random(seed)
        , m_restarts(restarts)
        , m_tally(tally)
        , m_last(1 + below(9))
        , m_hasTwoVersions(oneIn(2))
    {
        m_bench.random = SeededRandom(seed);
        if (oneIn(4))
            m_bench.context.answerBytes = BufferBudget(200); // A quarter of it is the limit for small shares.
        if (oneIn(3)) {
            m_bench.context.instance = InstanceId("edge-1");
            m_bench.relayPeers.set({ { .address = InstanceId(peers[0]), .isInOwnDomain = true }, { .address = InstanceId(peers[1]) } });
        }
        for (const auto& it : servers)
            announce(it, anyVersion());
        m_bench.upstream.otherwise = Script();
    }

    /** Plays the caller's tries. Returns what is wrong with what it got; empty if nothing is. */
    std::string run()
    {
        for (int i = 0; i < maxTries; ++i) {
            if (oneIn(4))
                setReach(oneIn(2));
            const auto attempt = "a" + std::to_string(i);
            const auto isWhole = tryOnce(attempt);
            if (!m_held.fault.empty())
                return m_held.fault;
            if (isWhole && m_held.events != m_last)
                return "complete after " + std::to_string(m_held.events) + " of " + std::to_string(m_last);
            if (m_firstBrought.empty() && m_held.events > 0)
                m_firstBrought = attempt;
            ++(isWhole ? m_tally.whole : m_tally.cut);
            if (isWhole)
                break;
        }
        return {};
    }

private:
    std::uint64_t below(std::uint64_t n) { return m_random.below(n); }
    bool oneIn(std::uint64_t n) { return below(n) == 0; }
    std::string anyVersion() { return m_hasTwoVersions && oneIn(2) ? "v2 " : "v1 "; }

    void announce(const std::string& server, const std::string& version)
    {
        m_versions[server] = version;
        m_unannounced.erase(server);
        m_bench.streamOrigins.earlierVersions.insert(versionIdOf(ServiceId("models"), SoftwareVersion(version)));
        m_bench.addServer(server, "models", version, ++m_starts);
    }

    /** Announces what runs at the server, which may have started again since the last time, or a further start. */
    void announceAnew(const std::string& server) { announce(server, m_unannounced.contains(server) ? m_versions.at(server) : anyVersion()); }

    /** The server has broken its answer off, and starts again under its id and address. Its announcement comes later, or never. */
    void startAgain(const std::string& server)
    {
        // Until two versions are known, nobody doubts the version of a server.
        if (m_bench.writer.isDisconnected || m_bench.streamOrigins.earlierVersions.size() < 2)
            return;
        ++m_tally.startedAgain;
        m_bench.upstream.restart(server);
        m_versions[server] = anyVersion();
        m_unannounced.insert(server);
    }

    void setReach(bool isInReach)
    {
        for (const auto& it : servers)
            m_bench.selector.recordProbe(BackendId(it), isInReach, monotonicNow());
    }

    bool tryOnce(const std::string& attempt)
    {
        auto http = RoutedBench::request("/draft/7", "good-key", "60");
        http.fields = {};
        http.fields.add("Host", "h.example");
        http.fields.add("Attempt-Id", attempt);
        http.fields.add("Deadline-Ms", "60");
        http.fields.add("Authorization", "Bearer good-key");
        m_earlier = m_held;
        if (m_held.events > 0) {
            ++m_tally.takenUp;
            http.fields.add("Last-Event-Id", std::to_string(m_held.events));
            http.fields.add("Resumes", m_firstBrought);
        }
        m_hasEndedEmpty = false;
        auto& writer = m_bench.writer;
        writer = RecordingWriter();
        if (oneIn(5))
            writer.takes = [this, n = 1 + below(4)](std::string_view bytes) mutable { return n-- > 1 ? bytes.size() : breakCaller(bytes); };
        writer.written = [this] { disturb(); };
        m_bench.upstream.otherwise->answerTo = [this, attempt](const HttpRequest& request, Script& script) { answer(request, script, attempt); };
        const auto asked = m_bench.upstream.requests.size();
        m_bench.runAgain(http);
        m_tally.goneOn += m_bench.upstream.requests.size() > asked + 1 ? 1 : 0;
        take(m_held, writer.streamed);
        return writer.isFinished;
    }

    std::size_t breakCaller(std::string_view bytes)
    {
        m_bench.writer.isDisconnected = oneIn(2);
        return below(bytes.size());
    }

    /** A server is replaced or leaves while a stream runs. */
    void disturb()
    {
        if (!oneIn(8))
            return;
        const auto& server = servers[below(servers.size())];
        if (oneIn(2))
            announceAnew(server);
        else
            m_bench.selector.recordLeaving(BackendId(server), Incarnation(m_starts));
    }

    /** Events from `first` on, in random pieces and with comments. */
    std::vector<std::string> pieces(std::uint64_t first, std::uint64_t last, const std::string& version)
    {
        std::string text;
        for (auto i = first; i <= last; ++i) {
            text += oneIn(4) ? ": between\n\n" : "";
            text += oneIn(4) ? ": within\n" : "";
            text += countedEvents(i, i, version);
        }
        std::vector<std::string> result;
        const auto longest = oneIn(3) ? text.size() + 1 : 1 + below(60);
        for (std::size_t at = 0; at < text.size(); at += result.back().size())
            result.push_back(text.substr(at, 1 + below(longest)));
        return result;
    }

    void answer(const HttpRequest& request, Script& script, const std::string& attempt)
    {
        const auto address = m_bench.upstream.addresses.back();
        const auto isPeer = !m_versions.contains(address);
        m_tally.relayed += isPeer ? 1 : 0;
        script.status = 200;
        script.fields = { { .name = "Attempt-Id", .value = attempt }, { .name = "Runner-Seal", .value = "seal" } };
        script.contentType = "text/event-stream";
        if (isPeer ? oneIn(4) : oneIn(8)) {
            script = RoutedBench::rejection();
            if (isPeer)
                script.fields = { { .name = std::string(relayField), .value = "no-path" } };
            return;
        }
        if (oneIn(10)) {
            script.beginError = make_error_code(RouterError::UpstreamBroken);
            return;
        }
        const auto version = isPeer ? versionOfStream() : versionAt(address);
        const auto after = askedAfter(request);
        // As the other instance does before it passes an event on.
        if (isPeer && after == 0)
            m_bench.streamOrigins.record({ .stream = streamIdOf(WorkspaceId("w"), attempt), .version = versionIdOf(ServiceId("models"), SoftwareVersion(version)) });
        script.chunks = pieces(oneIn(4) ? 1 + below(after + 1) : after + 1, m_last, version);
        script.isCloseDelimited = !isPeer && oneIn(4);
        if (oneIn(2))
            return;
        cut(script, isPeer);
    }

    /** Breaks the answer off, visibly: in an orderly way only inside an event, or before the first one once in a try. */
    void cut(Script& script, bool isPeer)
    {
        if (script.isCloseDelimited && !m_hasEndedEmpty && oneIn(4)) {
            m_hasEndedEmpty = true;
            ++m_tally.emptyEnds;
            script.chunks.clear();
            return;
        }
        script.chunks.resize(below(script.chunks.size() + 1));
        const auto isTimeout = !isPeer && oneIn(4);
        script.bodyError = make_error_code(isTimeout ? RouterError::UpstreamTimeout : RouterError::UpstreamBroken);
        if (m_restarts == Restarts::Unannounced && !isPeer && !isTimeout && oneIn(3))
            script.onBodyError = [this, server = m_bench.upstream.addresses.back()] { startAgain(server); };
        if (script.chunks.empty() || !oneIn(4))
            return;
        auto& piece = script.chunks.back();
        piece.resize(1 + below(piece.size()));
        if (piece.back() == '\n')
            return;
        script.bodyError = {};
    }

    /** The version of which the server's answer is. It may be replaced while the request is on its way, and either start may answer. */
    std::string versionAt(const std::string& server)
    {
        auto before = m_versions.at(server);
        if (!oneIn(4))
            return before;
        ++m_tally.replaced;
        announceAnew(server);
        return oneIn(2) ? before : m_versions.at(server);
    }

    /** Other instances look it up. */
    std::string versionOfStream()
    {
        auto held = m_earlier;
        take(held, m_bench.writer.streamed);
        return held.events > 0 ? held.version : anyVersion();
    }

    SeededRandom m_random;
    Restarts m_restarts;
    Tally& m_tally;
    RoutedBench m_bench;
    std::uint64_t m_last;
    bool m_hasTwoVersions;
    std::map<std::string, std::string> m_versions; // Of what runs at each server.
    std::set<std::string> m_unannounced; // Servers that have started again since they announced themselves.
    std::uint64_t m_starts = 1;
    Held m_held;
    Held m_earlier; // Before the present try.
    std::string m_firstBrought; // Id of the try that brought the first event.
    bool m_hasEndedEmpty = false; // In the present try.
};

} // namespace

TEST_CASE("over all its tries a caller gets each event of its stream once and in order, and no early end", "[routed][streams][search]")
{
    Tally tally;
    for (auto seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        const auto fault = Play(seed, Play::Restarts::Announced, tally).run();
        CAPTURE(seed, fault);
        CHECK(fault.empty());
    }
    std::cout << "streams from seeds " << firstSeed << " to " << firstSeed + seeds - 1 << ": whole " << tally.whole << ", tries cut " << tally.cut << ", taken up " << tally.takenUp
              << ", gone on " << tally.goneOn << ", servers replaced " << tally.replaced << ", through other instances " << tally.relayed << ", empty ends " << tally.emptyEnds << "\n";
    for (const auto n : { tally.whole, tally.cut, tally.takenUp, tally.goneOn, tally.replaced, tally.relayed, tally.emptyEnds })
        CHECK(n > seeds / 100);
}

TEST_CASE("over all its tries a caller gets events of one version while servers start again unannounced", "[routed][streams][search]")
{
    Tally tally;
    int joined = 0;
    for (auto seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        const auto fault = Play(seed, Play::Restarts::Unannounced, tally).run();
        CAPTURE(seed, fault);
        CHECK(fault.empty());
        joined += fault.empty() ? 0 : 1;
    }
    std::cout << "streams from seeds " << firstSeed << " to " << firstSeed + seeds - 1 << ": servers started again unannounced " << tally.startedAgain << ", gone on " << tally.goneOn << ", faults " << joined << "\n";
    CHECK(tally.startedAgain > seeds / 100);
    CHECK(tally.goneOn > seeds / 100);
}
