/** \file
 * What a caller is told when attempts fail at each step, and when the router may try again.
 */
#include "test/fakes/RequestBench.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;

namespace {

const std::string event = "data: {\"x\":1}\n\n";
const std::string endMarker = "data: [DONE]\n\n";

Script stream(std::vector<std::string> pieces, std::error_code breaksWith = {})
{
    Script script;
    script.contentType = "text/event-stream";
    script.pieces = std::move(pieces);
    script.breaksWith = breaksWith;
    return script;
}

Script whole(const std::string& body)
{
    Script script;
    script.pieces = { body };
    return script;
}

Script broken(RouterError error, Verdict verdict)
{
    Script script;
    script.beginError = make_error_code(error);
    script.beginVerdict = verdict;
    return script;
}

/** Takes the request and answers nothing until it is cancelled. */
Script stalled()
{
    Script script;
    script.isStalled = true;
    return script;
}

std::string verdictOf(const RequestBench& bench)
{
    return std::string(bench.writer.response->fields.find("X-Hickory-Verdict"));
}

} // namespace

TEST_CASE("a stream reaches the caller whole", "[entry]")
{
    RequestBench bench;
    bench.upstream.scripts = { stream({ event.substr(0, 5), event.substr(5) + event, endMarker }) };
    bench.run(RequestBench::chat(true));
    CHECK(bench.writer.streamed == event + event + endMarker);
    CHECK(bench.writer.isFinished);
    CHECK_FALSE(bench.writer.isAbandoned);
    CHECK(bench.running() == 0);
}

TEST_CASE("a stream lost before its first event is tried elsewhere, and nothing of it is seen", "[entry]")
{
    RequestBench bench;
    bench.upstream.scripts = { stream({ event.substr(0, 5) }, make_error_code(RouterError::UpstreamBroken)), stream({ event, endMarker }) };
    bench.run(RequestBench::chat(true));
    CHECK(bench.writer.streamed == event + endMarker);
    REQUIRE(bench.upstream.addresses.size() == 2);
    CHECK(bench.upstream.addresses[0] != bench.upstream.addresses[1]);
}

TEST_CASE("a stream lost after its first event ends with an error event and is not begun again", "[entry]")
{
    RequestBench bench;
    bench.upstream.scripts = { stream({ event }, make_error_code(RouterError::UpstreamBroken)) };
    bench.run(RequestBench::chat(true));
    CHECK(bench.upstream.addresses.size() == 1);
    CHECK(bench.writer.streamed.starts_with(event + "event: error\n"));
    CHECK(bench.writer.streamed.find(endMarker) == std::string::npos);
    CHECK(bench.writer.streamed.find("may-have-run") != std::string::npos);
    CHECK(bench.writer.isAbandoned);
}

TEST_CASE("a stream that ends without its end marker is not passed off as whole", "[entry]")
{
    RequestBench bench;
    bench.upstream.scripts = { stream({ event, event }) };
    bench.run(RequestBench::chat(true));
    CHECK(bench.writer.streamed.find("event: error") != std::string::npos);
}

TEST_CASE("answers that are cut, malformed or another attempt's never reach the caller", "[entry]")
{
    auto foreign = whole(R"({"a":1})");
    foreign.echo = "7-999";
    auto cut = whole(R"({"a":)");
    cut.breaksWith = make_error_code(RouterError::UpstreamBroken);
    const std::vector<Script> allBad { foreign, cut, whole(R"({"a":)") };
    const auto bad = allBad.at(GENERATE(as<std::size_t> {}, 0, 1, 2));
    RequestBench bench;
    bench.upstream.scripts = { bad, whole(R"({"a":2})") };
    bench.run(RequestBench::chat(false));
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->body == R"({"a":2})");
    CHECK(verdictOf(bench) == "ran");
}

TEST_CASE("not run is claimed only when nothing was sent or the backend server says so", "[entry]")
{
    RequestBench bench;
    auto refusing = whole("{}");
    refusing.status = 503;
    refusing.saysNotRun = GENERATE(true, false);
    bench.upstream.scripts = { broken(RouterError::UpstreamConnectFailed, Verdict::NotRun), broken(RouterError::UpstreamConnectFailed, Verdict::NotRun), refusing };
    bench.run(RequestBench::chat(false));
    REQUIRE(bench.writer.response);
    CHECK(verdictOf(bench) == (refusing.saysNotRun ? "not-run" : "may-have-run"));
    CHECK(bench.writer.response->status == 502);
}

TEST_CASE("one attempt that may have run stays in the verdict whatever follows", "[entry]")
{
    RequestBench bench;
    bench.upstream.scripts = { broken(RouterError::UpstreamBroken, Verdict::MayHaveRun), broken(RouterError::UpstreamConnectFailed, Verdict::NotRun), broken(RouterError::UpstreamConnectFailed, Verdict::NotRun) };
    bench.run(RequestBench::chat(false));
    CHECK(bench.upstream.addresses.size() == 3);
    CHECK(verdictOf(bench) == "may-have-run");
}

TEST_CASE("work that may not be repeated is sent once when a byte went out", "[entry]")
{
    RequestBench bench;
    const auto* key = GENERATE("", "k");
    const auto error = GENERATE(RouterError::UpstreamBroken, RouterError::UpstreamTimeout);
    bench.upstream.scripts = { broken(error, Verdict::MayHaveRun) };
    bench.run(RequestBench::order(key));
    CHECK(bench.upstream.addresses.size() == 1);
    CHECK(verdictOf(bench) == "may-have-run");
    if (*key != '\0')
        CHECK(bench.ledger.completed == std::vector<Verdict> { Verdict::MayHaveRun });
}

TEST_CASE("work that may not be repeated is sent again under its claim when no byte went out", "[entry]")
{
    RequestBench bench;
    bench.upstream.scripts = { broken(RouterError::UpstreamConnectFailed, Verdict::NotRun), whole("cut") };
    bench.run(RequestBench::order("k"));
    CHECK(bench.upstream.addresses.size() == 2);
    CHECK(bench.writer.response->body == "cut");
    CHECK(bench.ledger.completed == std::vector<Verdict> { Verdict::Ran });
}

TEST_CASE("without a granted claim nothing is sent", "[entry]")
{
    using Kind = ClaimResult::Kind;
    const auto [kind, status, verdict] = GENERATE(table<Kind, unsigned, std::string>({
        { Kind::Unavailable, 503, "not-run" },
        { Kind::InProgress, 409, "may-have-run" },
        { Kind::OutcomeUnknown, 409, "may-have-run" },
        { Kind::OtherRequest, 422, "not-run" },
        { Kind::AnswerNotKept, 409, "ran" },
    }));
    RequestBench bench;
    bench.ledger.next.kind = kind;
    bench.run(RequestBench::order("k"));
    CHECK(bench.upstream.addresses.empty());
    CHECK(bench.writer.response->status == status);
    CHECK(verdictOf(bench) == verdict);
    CHECK(bench.ledger.completed.empty());
}

TEST_CASE("a recorded answer is given again without sending", "[entry]")
{
    RequestBench bench;
    bench.ledger.next.kind = ClaimResult::Kind::Answered;
    bench.ledger.next.answer = { .status = 201, .fields = {}, .body = "cut" };
    bench.run(RequestBench::order("k"));
    CHECK(bench.upstream.addresses.empty());
    CHECK(bench.writer.response->status == 201);
    CHECK(bench.writer.response->body == "cut");
}

TEST_CASE("retries end with the budget of the class", "[entry]")
{
    RequestBench bench;
    int attempts = 0;
    constexpr int requests = 200;
    for (int i = 0; i < requests; ++i) {
        bench.upstream.scripts.assign(3, broken(RouterError::UpstreamBroken, Verdict::MayHaveRun));
        auto request = RequestBench::chat(false);
        request.body = R"({"model":"m","messages":[],"n":)" + std::to_string(i) + "}";
        bench.upstream.addresses.clear();
        bench.run(request);
        attempts += static_cast<int>(bench.upstream.addresses.size());
    }
    // Ten in a hundred, and the few that a new process may make.
    CHECK(attempts <= requests + requests / 10 + 3);
}

TEST_CASE("an instance without valid settings takes no new work", "[entry]")
{
    SettingsInForce inForce;
    CHECK_FALSE(inForce.current(monotonicNow()));
    Diagnostics complaints;
    inForce.apply(parseRoutingSettings({ .inventory = inventoryText, .rules = rulesText }, SettingsVersion(5), complaints));
    CHECK_FALSE(inForce.current(monotonicNow()));
    inForce.extendLease(TimePoint::max());
    REQUIRE(inForce.current(monotonicNow()));
    CHECK_FALSE(inForce.apply(parseRoutingSettings({ .inventory = inventoryText, .rules = rulesText }, SettingsVersion(4), complaints)));
    CHECK(inForce.current(monotonicNow())->version == SettingsVersion(5));
}

TEST_CASE("a draining instance refuses new work as not run", "[entry]")
{
    RequestBench bench;
    bench.api.startDrain();
    bench.run(RequestBench::chat(true));
    CHECK(bench.writer.response->status == 503);
    CHECK(verdictOf(bench) == "not-run");
}

TEST_CASE("a caller's deadline ends an attempt, and no deadline ends none", "[entry]")
{
    RequestBench bench;
    bench.upstream.scripts = { whole(R"({"a":1})") };
    auto request = RequestBench::chat(false);
    bench.run(request);
    CHECK(verdictOf(bench) == "ran");
    bench.upstream.scripts = { stalled() };
    request.fields.add("X-Hickory-Deadline-Ms", "30");
    bench.run(request);
    CHECK(bench.writer.response->status == 504);
    CHECK(verdictOf(bench) == "may-have-run");
    CHECK(bench.running() == 0);
}
