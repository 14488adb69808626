#include "Workload.h"

#include "net/Timer.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cmath>
#include <fmt/format.h>
#include <numbers>

namespace HickoryHollow {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::string_view endMarker = "data: [DONE]\n\n";
constexpr std::string_view contentStart = "\"content\":\"";
constexpr double maxAnswerTokens = 4000;

double millisecondsSince(Clock::time_point time)
{
    return std::chrono::duration<double, std::milli>(Clock::now() - time).count();
}

constexpr UpstreamTimeouts callerTimeouts { .head = std::chrono::minutes(5), .chunk = std::chrono::minutes(5) };

UpstreamOptions clientOptions()
{
    return { .connectTimeout = std::chrono::seconds(5), .maxIdlePerServer = 4096 };
}

} // namespace

double ClassResult::quantile(std::vector<double> values, double q)
{
    if (values.empty())
        return 0;
    const auto place = values.begin() + static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), place, values.end());
    return *place;
}

Workload::Workload(asio::io_context& loop, WorkloadOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_random(m_options.seed)
    , m_client(makeUpstreamClient(loop, clientOptions()))
{
    for (const auto& it : m_options.classes)
        m_result[it.name] = {};
}

void Workload::start()
{
    m_startedAt = Clock::now();
    asio::co_spawn(m_loop, sendRequests(), asio::detached);
}

double Workload::uniform()
{
    return (static_cast<double>(m_random.next() >> 11U) + 0.5) / 9007199254740992.0;
}

double Workload::normal()
{
    return std::sqrt(-2 * std::log(uniform())) * std::cos(2 * std::numbers::pi * uniform());
}

double Workload::rateAt(Clock::time_point time) const
{
    const auto third = (time - m_startedAt) * 3 / m_options.duration;
    return third == 1 ? m_options.requestsPerSecond * m_options.burstFactor : m_options.requestsPerSecond;
}

Task<void> Workload::sleepFor(std::chrono::microseconds time)
{
    Timer timer(m_loop.get_executor());
    timer.expires_after(time);
    co_await timer.async_wait(asTuple);
}

// Open loop: arrivals do not wait for answers, as callers do not slow down when the system does.
Task<void> Workload::sendRequests()
{
    auto next = m_startedAt;
    Timer timer(m_loop.get_executor());
    while (next < m_startedAt + m_options.duration) {
        timer.expires_at(next);
        co_await timer.async_wait(asTuple);
        asio::co_spawn(m_loop, runRequest(makeRequest()), asio::detached);
        const auto gap = -std::log(uniform()) / rateAt(next);
        next += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(gap));
    }
}

std::shared_ptr<Workload::Request> Workload::makeRequest()
{
    auto request = std::make_shared<Request>();
    auto draw = uniform();
    request->load = &m_options.classes.back();
    for (const auto& it : m_options.classes) {
        draw -= it.share;
        if (draw < 0) {
            request->load = &it;
            break;
        }
    }
    request->nonce = fmt::format("{}n{}", m_options.seed, ++m_lastNonce);
    request->tokens = static_cast<std::uint64_t>(std::clamp(request->load->medianTokens * std::exp(request->load->sigma * normal()), 1.0, maxAnswerTokens));
    const auto repeats = m_options.repeatsPerRequest;
    request->repeatsLeft = static_cast<std::uint64_t>(repeats) + (uniform() < repeats - std::floor(repeats) ? 1 : 0);
    request->body = fmt::format(R"({{"model":"{}","stream":true,"standin_nonce":"{}","standin_tokens":{},"messages":[{{"role":"system","content":"prefix {}"}}]}})", m_options.model, request->nonce, request->tokens, m_random.below(m_options.promptPrefixes));
    request->startedAt = Clock::now();
    return request;
}

HttpRequest Workload::makeHttp(const Request& request) const
{
    HttpRequest http { .method = "POST", .target = "/v1/chat/completions", .fields = {}, .body = request.body };
    http.fields.add("Authorization", "Bearer " + m_options.key);
    http.fields.add("X-Hickory-Class", request.load->name);
    http.fields.add("Content-Type", "application/json");
    return http;
}

Workload::Outcome Workload::classify(const Request& request, const std::string& body)
{
    if (body.find("event: error") != std::string::npos || !body.ends_with(endMarker))
        return Outcome::Failed;
    std::string expected;
    for (std::uint64_t i = 0; i < request.tokens; ++i)
        expected += fmt::format("{}:{} ", request.nonce, i);
    std::string text;
    for (auto at = body.find(contentStart); at != std::string::npos; at = body.find(contentStart, at)) {
        at += contentStart.size();
        text += body.substr(at, body.find('"', at) - at);
    }
    return text == expected ? Outcome::Complete : Outcome::Wrong;
}

Task<Workload::Attempt> Workload::runAttempt(const Request& request, const std::string& target)
{
    Attempt attempt;
    const auto call = m_client->open(target, callerTimeouts);
    auto isTimeoutOff = std::make_shared<bool>(false);
    auto isAbandoned = std::make_shared<bool>(false);
    const auto timeoutTimer = std::make_shared<Timer>(m_loop.get_executor());
    if (request.load->callerTimeout.count() > 0 && request.repeatsLeft > 0) {
        timeoutTimer->expires_after(request.load->callerTimeout);
        timeoutTimer->async_wait([isTimeoutOff, isAbandoned, timeoutTimer, raw = call.get()](const auto& ec) {
            if (ec || *isTimeoutOff)
                return;
            *isAbandoned = true;
            raw->cancel();
        });
    }
    const auto head = co_await call->begin(makeHttp(request));
    std::string body;
    auto isBroken = static_cast<bool>(head.ec);
    while (!isBroken) {
        const auto chunk = co_await call->readChunk();
        if (!chunk.bytes.empty() && body.empty()) {
            attempt.firstTokenMilliseconds = millisecondsSince(request.startedAt);
            // A caller that has received the first token waits for the rest of the answer.
            *isTimeoutOff = true;
        }
        body.append(chunk.bytes);
        isBroken = static_cast<bool>(chunk.ec);
        if (chunk.isLast)
            break;
    }
    *isTimeoutOff = true;
    timeoutTimer->cancel();
    const auto retryAfter = std::string(head.fields.find("Retry-After"));
    if (!retryAfter.empty())
        attempt.retryAfter = std::chrono::seconds(std::stol(retryAfter));
    if (*isAbandoned)
        attempt.outcome = Outcome::Abandoned;
    else if (isBroken)
        attempt.outcome = head.verdict == Verdict::NotRun ? Outcome::Refused : Outcome::Failed;
    else if (head.status == 200)
        attempt.outcome = classify(request, body);
    else if (head.fields.find("X-Hickory-Verdict") == "not-run")
        attempt.outcome = Outcome::Refused;
    co_return attempt;
}

void Workload::count(const Request& request, const Attempt& attempt)
{
    auto& result = m_result[request.load->name];
    switch (attempt.outcome) {
    case Outcome::Complete: {
        const auto completion = millisecondsSince(request.startedAt);
        ++result.complete;
        result.deliveredTokens += request.tokens;
        result.firstTokenMilliseconds.push_back(attempt.firstTokenMilliseconds);
        result.completionMilliseconds.push_back(completion);
        const auto isInTime = attempt.firstTokenMilliseconds <= static_cast<double>(request.load->firstTokenTarget.count()) && completion <= static_cast<double>(request.load->completionTarget.count());
        result.inTarget += isInTime ? 1 : 0;
        break;
    }
    case Outcome::Refused:
        ++result.refused;
        break;
    case Outcome::Failed:
        ++result.failed;
        break;
    case Outcome::Abandoned:
        ++result.abandoned;
        break;
    case Outcome::Wrong:
        ++result.wrong;
        break;
    }
}

Task<void> Workload::runRequest(std::shared_ptr<Request> request)
{
    ++m_result[request->load->name].requests;
    for (;;) {
        const auto& target = m_options.targets[m_random.below(m_options.targets.size())];
        const auto attempt = co_await runAttempt(*request, target);
        count(*request, attempt);
        if (attempt.outcome == Outcome::Complete || request->repeatsLeft == 0)
            co_return;
        --request->repeatsLeft;
        ++m_result[request->load->name].repeats;
        // Simulates impatient callers: they honour Retry-After only up to a second.
        const auto wait = std::min(attempt.retryAfter, std::chrono::milliseconds(1000));
        if (attempt.outcome != Outcome::Abandoned)
            co_await sleepFor(std::chrono::milliseconds(50) + wait);
    }
}

} // namespace HickoryHollow
