/** \file
 * Searches, from printed seeds, for a piece that is missing or comes twice on a route with three attempts: events split at any byte,
 * lines that end in CRLF, and callers that take their stream up behind what was written to them.
 */
#include "test/fakes/CountedStream.h"
#include "test/fakes/RoutedBench.h"

#include <catch2/catch.hpp>
#include <iostream>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;

namespace {

constexpr std::uint64_t firstSeed = 1;
constexpr int seeds = 10000;
constexpr int maxTries = 5;
constexpr std::uint64_t maxEvents = 9;

/** What happened in all plays, so that a search that meets nothing is seen. */
struct Tally {
    int whole = 0;
    int cut = 0;
    int takenUpBehind = 0;
    int thirdAttempts = 0;
    int oversized = 0;
};

/** One stream with its servers and its caller. */
class Play {
public:
    Play(std::uint64_t seed, Tally& tally)
        : m_random(seed)
        , m_tally(tally)
        , m_last(1 + below(maxEvents))
        , m_hasCarriageReturns(oneIn(2))
    {
        m_bench.random = SeededRandom(seed);
        auto configuration = RoutedBench::configuration();
        configuration.version = RoutingVersion(8);
        configuration.routes[0].maxAttempts = 3;
        m_bench.routing.apply(configuration);
        m_bench.confirm(std::chrono::seconds(5));
        m_bench.upstream.otherwise = Script();
    }

    /** Plays the caller's tries. Returns what is wrong with what it got; empty if nothing is. */
    std::string run()
    {
        for (int i = 0; i < maxTries; ++i) {
            const auto attempt = "a" + std::to_string(i);
            const auto isWhole = tryOnce(attempt);
            ++(isWhole ? m_tally.whole : m_tally.cut);
            if (!m_fault.empty())
                return m_fault;
            if (isWhole)
                return m_received == m_last ? "" : "complete after " + std::to_string(m_received) + " of " + std::to_string(m_last);
            if (m_firstBrought.empty() && m_received > 0)
                m_firstBrought = attempt;
            // What was written to the caller's connection last may not have reached it.
            if (m_received > 1 && oneIn(3)) {
                m_received -= 1 + below(m_received - 1);
                ++m_tally.takenUpBehind;
            }
        }
        return {};
    }

private:
    std::uint64_t below(std::uint64_t n) { return m_random.below(n); }
    bool oneIn(std::uint64_t n) { return below(n) == 0; }
    std::string lineEnd() const { return m_hasCarriageReturns ? "\r\n" : "\n"; }
    std::string event(std::uint64_t id) const { return "id: " + std::to_string(id) + lineEnd() + "data: piece " + std::to_string(id) + lineEnd() + lineEnd(); }

    bool tryOnce(const std::string& attempt)
    {
        auto http = RoutedBench::request("/draft/7", "good-key", "60");
        http.fields = {};
        http.fields.add("Host", "h.example");
        http.fields.add("Attempt-Id", attempt);
        http.fields.add("Deadline-Ms", "60");
        http.fields.add("Authorization", "Bearer good-key");
        if (m_received > 0) {
            http.fields.add("Last-Event-Id", std::to_string(m_received));
            http.fields.add("Resumes", m_firstBrought);
        }
        auto& writer = m_bench.writer;
        writer = RecordingWriter();
        if (oneIn(5))
            writer.takes = [this, n = 1 + below(4)](std::string_view bytes) mutable { return n-- > 1 ? bytes.size() : below(bytes.size()); };
        m_bench.upstream.otherwise->answerTo = [this, attempt](const HttpRequest& request, Script& script) { answer(request, script, attempt); };
        const auto asked = m_bench.upstream.requests.size();
        m_bench.runAgain(http);
        m_tally.thirdAttempts += m_bench.upstream.requests.size() > asked + 2 ? 1 : 0;
        check(writer.streamed);
        return writer.isFinished;
    }

    void check(std::string_view text)
    {
        const auto blank = lineEnd() + lineEnd();
        for (auto end = text.find(blank); end != std::string_view::npos; end = text.find(blank)) {
            const auto got = std::string(text.substr(0, end + blank.size()));
            text.remove_prefix(got.size());
            if (got != event(++m_received))
                m_fault += "event " + std::to_string(m_received) + " is " + got;
        }
    }

    void answer(const HttpRequest& request, Script& script, const std::string& attempt)
    {
        if (oneIn(8)) {
            script = RoutedBench::rejection();
            return;
        }
        script = RoutedBench::answer("");
        script.fields[0].value = attempt;
        script.contentType = "text/event-stream";
        script.chunks.clear();
        const auto after = askedAfter(request);
        std::string text;
        for (auto i = oneIn(3) ? 1 + below(after + 1) : after + 1; i <= m_last; ++i)
            text += event(i);
        const auto isCut = !oneIn(3);
        if (isCut)
            text.resize(below(text.size() + 1));
        for (std::size_t at = 0; at < text.size(); at += script.chunks.back().size())
            script.chunks.push_back(text.substr(at, 1 + below(oneIn(2) ? 4 : 60)));
        if (!isCut)
            return;
        // An event that is too large comes in the same read as the end of those before.
        if (oneIn(4) && !script.chunks.empty()) {
            script.chunks.back() += std::string((1U << 20U) + 1, 'x');
            ++m_tally.oversized;
        }
        script.bodyError = make_error_code(RouterError::UpstreamBroken);
    }

    SeededRandom m_random;
    Tally& m_tally;
    RoutedBench m_bench;
    std::uint64_t m_last;
    bool m_hasCarriageReturns;
    std::uint64_t m_received = 0; // Events that the caller has.
    std::string m_fault;
    std::string m_firstBrought; // Id of the try that brought the first event.
};

} // namespace

TEST_CASE("on a route with three attempts a caller gets each event once and in order over all its tries", "[routed][streams][search]")
{
    Tally tally;
    for (auto seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        const auto fault = Play(seed, tally).run();
        CAPTURE(seed, fault);
        CHECK(fault.empty());
    }
    std::cout << "streams of three attempts from seeds " << firstSeed << " to " << firstSeed + seeds - 1 << ": whole " << tally.whole << ", tries cut " << tally.cut << ", taken up behind " << tally.takenUpBehind
              << ", third attempts " << tally.thirdAttempts << ", oversized events " << tally.oversized << "\n";
    for (const auto n : { tally.whole, tally.cut, tally.takenUpBehind, tally.thirdAttempts, tally.oversized })
        CHECK(n > seeds / 100);
}
