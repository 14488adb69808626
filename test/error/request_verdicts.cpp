/** \file
 * Answers and verdicts that callers get when attempts fail at each step, and the rules for retries.
 */
#include "test/fakes/RequestBench.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;

namespace {

const std::string event = "data: {\"x\":1}\n\n";
const std::string endMarker = "data: [DONE]\n\n";

Script stream(std::vector<std::string> chunks, std::error_code bodyError = {})
{
    Script script;
    script.contentType = "text/event-stream";
    script.chunks = std::move(chunks);
    script.bodyError = bodyError;
    return script;
}

Script completeAnswer(const std::string& body)
{
    Script script;
    script.chunks = { body };
    return script;
}

Script failingBegin(RouterError error, Verdict verdict)
{
    Script script;
    script.beginError = make_error_code(error);
    script.beginVerdict = verdict;
    return script;
}

/** Accepts the request and sends nothing until the call is cancelled. */
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

TEST_CASE("a complete stream is relayed to the caller unchanged", "[entry]")
{
    RequestBench bench;
    bench.upstream.scripts = { stream({ event.substr(0, 5), event.substr(5) + event, endMarker }) };
    bench.run(RequestBench::chat(true));
    CHECK(bench.writer.streamed == event + event + endMarker);
    CHECK(bench.writer.isFinished);
    CHECK_FALSE(bench.writer.isAbandoned);
    CHECK(bench.running() == 0);
}

TEST_CASE("a stream that breaks before its first complete event is retried on another backend server, and none of it reaches the caller", "[entry]")
{
    RequestBench bench;
    bench.upstream.scripts = { stream({ event.substr(0, 5) }, make_error_code(RouterError::UpstreamBroken)), stream({ event, endMarker }) };
    bench.run(RequestBench::chat(true));
    CHECK(bench.writer.streamed == event + endMarker);
    REQUIRE(bench.upstream.addresses.size() == 2);
    CHECK(bench.upstream.addresses[0] != bench.upstream.addresses[1]);
}

TEST_CASE("a stream that breaks after its first event ends with an error event and is not retried", "[entry]")
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

TEST_CASE("a stream without its end marker ends with an error event", "[entry]")
{
    RequestBench bench;
    bench.upstream.scripts = { stream({ event, event }) };
    bench.run(RequestBench::chat(true));
    CHECK(bench.writer.streamed.find("event: error") != std::string::npos);
}

TEST_CASE("answers that are truncated, malformed or carry another attempt's id never reach the caller", "[entry]")
{
    auto mismatched = completeAnswer(R"({"a":1})");
    mismatched.echoedAttemptId = "7-999";
    auto truncated = completeAnswer(R"({"a":)");
    truncated.bodyError = make_error_code(RouterError::UpstreamBroken);
    const std::vector<Script> allBad { mismatched, truncated, completeAnswer(R"({"a":)") };
    const auto bad = allBad.at(GENERATE(as<std::size_t> {}, 0, 1, 2));
    RequestBench bench;
    bench.upstream.scripts = { bad, completeAnswer(R"({"a":2})") };
    bench.run(RequestBench::chat(false));
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->body == R"({"a":2})");
    CHECK(verdictOf(bench) == "ran");
}

TEST_CASE("the verdict is not-run only if nothing was sent or the backend server says so", "[entry]")
{
    RequestBench bench;
    auto refusing = completeAnswer("{}");
    refusing.status = 503;
    refusing.saysNotRun = GENERATE(true, false);
    bench.upstream.scripts = { failingBegin(RouterError::UpstreamConnectFailed, Verdict::NotRun), failingBegin(RouterError::UpstreamConnectFailed, Verdict::NotRun), refusing };
    bench.run(RequestBench::chat(false));
    REQUIRE(bench.writer.response);
    CHECK(verdictOf(bench) == (refusing.saysNotRun ? "not-run" : "may-have-run"));
    CHECK(bench.writer.response->status == 502);
}

TEST_CASE("after one attempt that may have run the verdict stays may-have-run", "[entry]")
{
    RequestBench bench;
    bench.upstream.scripts = { failingBegin(RouterError::UpstreamBroken, Verdict::MayHaveRun), failingBegin(RouterError::UpstreamConnectFailed, Verdict::NotRun), failingBegin(RouterError::UpstreamConnectFailed, Verdict::NotRun) };
    bench.run(RequestBench::chat(false));
    CHECK(bench.upstream.addresses.size() == 3);
    CHECK(verdictOf(bench) == "may-have-run");
}

TEST_CASE("once-only work is not retried after a byte was sent", "[entry]")
{
    RequestBench bench;
    const auto* key = GENERATE("", "k");
    const auto error = GENERATE(RouterError::UpstreamBroken, RouterError::UpstreamTimeout);
    bench.upstream.scripts = { failingBegin(error, Verdict::MayHaveRun) };
    bench.run(RequestBench::order(key));
    CHECK(bench.upstream.addresses.size() == 1);
    CHECK(verdictOf(bench) == "may-have-run");
    if (*key != '\0')
        CHECK(bench.ledger.completed == std::vector<Verdict> { Verdict::MayHaveRun });
}

TEST_CASE("once-only work is retried under its claim if no byte was sent", "[entry]")
{
    RequestBench bench;
    bench.upstream.scripts = { failingBegin(RouterError::UpstreamConnectFailed, Verdict::NotRun), completeAnswer("cut") };
    bench.run(RequestBench::order("k"));
    CHECK(bench.upstream.addresses.size() == 2);
    CHECK(bench.writer.response->body == "cut");
    CHECK(bench.ledger.completed == std::vector<Verdict> { Verdict::Ran });
}

TEST_CASE("once-only work is not sent without a granted claim", "[entry]")
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

TEST_CASE("a recorded answer is returned without sending the request", "[entry]")
{
    RequestBench bench;
    bench.ledger.next.kind = ClaimResult::Kind::Answered;
    bench.ledger.next.answer = { .status = 201, .fields = {}, .body = "cut" };
    bench.run(RequestBench::order("k"));
    CHECK(bench.upstream.addresses.empty());
    CHECK(bench.writer.response->status == 201);
    CHECK(bench.writer.response->body == "cut");
}

TEST_CASE("retries stop when the retry budget of the class is spent", "[entry]")
{
    RequestBench bench;
    int attempts = 0;
    constexpr int requests = 200;
    for (int i = 0; i < requests; ++i) {
        bench.upstream.scripts.assign(3, failingBegin(RouterError::UpstreamBroken, Verdict::MayHaveRun));
        auto request = RequestBench::chat(false);
        request.body = R"({"model":"m","messages":[],"n":)" + std::to_string(i) + "}";
        bench.upstream.addresses.clear();
        bench.run(request);
        attempts += static_cast<int>(bench.upstream.addresses.size());
    }
    // The class permits 10 retries per 100 first attempts, and a new process starts with a budget of 3.
    CHECK(attempts <= requests + requests / 10 + 3);
}

TEST_CASE("settings are current only under a valid lease, and an older version does not replace them", "[entry]")
{
    ActiveSettings activeSettings;
    CHECK_FALSE(activeSettings.current(monotonicNow()));
    Diagnostics diagnostics;
    activeSettings.apply(parseRoutingSettings({ .inventory = inventoryText, .rules = rulesText }, SettingsVersion(5), diagnostics));
    CHECK_FALSE(activeSettings.current(monotonicNow()));
    activeSettings.extendLease(TimePoint::max());
    REQUIRE(activeSettings.current(monotonicNow()));
    CHECK_FALSE(activeSettings.apply(parseRoutingSettings({ .inventory = inventoryText, .rules = rulesText }, SettingsVersion(4), diagnostics)));
    CHECK(activeSettings.current(monotonicNow())->version == SettingsVersion(5));
}

TEST_CASE("a draining instance refuses new requests with the verdict not-run", "[entry]")
{
    RequestBench bench;
    bench.api.startDrain();
    bench.run(RequestBench::chat(true));
    CHECK(bench.writer.response->status == 503);
    CHECK(verdictOf(bench) == "not-run");
}

TEST_CASE("an attempt ends at the caller's deadline and is not cut short without one", "[entry]")
{
    RequestBench bench;
    bench.upstream.scripts = { completeAnswer(R"({"a":1})") };
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
