#include "entry/RequestRunner.h"

#include "base/Digest.h"
#include "base/LogEvent.h"
#include "entry/Dispatcher.h"
#include "entry/IdempotencyLedger.h"
#include "http/DeadlineWatch.h"
#include "http/EventStreamScanner.h"
#include "http/HeldAnswer.h"
#include "http/ResponseWriter.h"
#include "http/UpstreamClient.h"
#include "metrics/Metrics.h"
#include "net/Timer.h"
#include "json/JsonSyntax.h"

#include <boost/asio/this_coro.hpp>
#include <charconv>
#include <fmt/format.h>

namespace HickoryHollow {

namespace {

constexpr std::uint32_t maxAttempts = 3;
constexpr Duration minUpstreamTimeout = std::chrono::seconds(10);
// Timeouts as multiples of the targets of the request class.
constexpr int firstTokenTimeoutFactor = 10;
constexpr int interTokenTimeoutFactor = 100;
constexpr int wholeAnswerTimeoutFactor = 4;
constexpr std::chrono::seconds quarantineRetryAfter { 60 }; // The quarantine lasts minutes.
constexpr std::size_t maxAnswerBytes = 32U << 20U; // Limit for an answer that is not streamed, which is held in memory.
constexpr std::string_view attemptIdField = "X-Hickory-Attempt-Id";

Refusal failure(RouterError error, Verdict verdict, std::string detail)
{
    return { .error = error, .verdict = verdict, .detail = std::move(detail), .retryAfter = {} };
}

RouterError routerErrorOf(const std::error_code& ec)
{
    return ec.category() == routerErrorCategory() ? static_cast<RouterError>(ec.value()) : RouterError::UpstreamBroken;
}

bool isGatewayError(unsigned status)
{
    return status >= 502 && status <= 504;
}

HttpFields forwardedFields(const HttpFields& fields)
{
    HttpFields forwarded;
    for (const auto* name : { "Content-Type", "Cache-Control", "Location", "ETag" }) {
        if (const auto value = fields.find(name); !value.empty())
            forwarded.add(name, std::string(value));
    }
    return forwarded;
}

} // namespace

RequestRunner::RequestRunner(RunnerContext context, const CallerRequest& request, const HttpRequest& http, ResponseWriter& writer)
    : m_context(context)
    , m_request(request)
    , m_http(http)
    , m_writer(writer)
    , m_interruption(context.interrupts)
    , m_metrics(context.metrics.forClass(request.requestClass->id))
{
}

void RequestRunner::setInterruption(std::function<void()> callback)
{
    m_interruption.set(callback);
    m_writer.onCallerDisconnect(std::move(callback));
}

Task<void> RequestRunner::run()
{
    ++m_metrics.requests;
    m_isRepeat = m_context.dispatcher.recordRequest(m_request);
    if (m_isRepeat)
        ++m_metrics.repeats;
    if (const auto wait = m_context.dispatcher.enterWorkspace(*m_request.workspace)) {
        auto refused = failure(RouterError::WorkspaceLimit, Verdict::NotRun, fmt::format("workspace `{}`", m_request.workspace->id.value()));
        refused.retryAfter = *wait;
        ++m_metrics.refusedNotRun;
        co_await m_writer.send(toResponse(refused));
        co_return;
    }
    if (!m_request.mayRunMoreThanOnce && m_request.key)
        co_await runClaimed();
    else
        co_await runUnclaimed();
    m_context.dispatcher.leaveWorkspace(m_request.workspace->id);
}

Task<void> RequestRunner::runUnclaimed()
{
    auto result = co_await runAttempts();
    co_await answer(std::move(result));
}

Task<void> RequestRunner::runClaimed()
{
    const ClaimKey key { .workspace = m_request.workspace->id, .service = m_request.service->id, .key = *m_request.key, .requestDigest = sha256Hex({ m_http.method, "\n", m_http.target, "\n", m_http.body }) };
    const auto claim = co_await m_context.ledger.claim(key);
    AttemptResult result;
    switch (claim.kind) {
    case ClaimResult::Kind::Granted: {
        result = co_await runAttempts();
        const auto verdict = result.failure ? result.failure->verdict : Verdict::Ran;
        co_await m_context.ledger.complete(key, claim.ticket, verdict, result.answer);
        break;
    }
    case ClaimResult::Kind::Answered:
        result.answer = claim.answer;
        result.answer.fields.add("X-Hickory-Recorded", "true");
        break;
    case ClaimResult::Kind::AnswerNotKept:
        result.failure = failure(RouterError::AnswerNotKept, Verdict::Ran, {});
        break;
    case ClaimResult::Kind::InProgress:
        result.failure = failure(RouterError::KeyInProgress, Verdict::MayHaveRun, {});
        result.failure->retryAfter = std::chrono::seconds(1);
        break;
    case ClaimResult::Kind::OutcomeUnknown:
        result.failure = failure(RouterError::KeyOutcomeUnknown, Verdict::MayHaveRun, "the request will not be sent again");
        break;
    case ClaimResult::Kind::OtherRequest:
        result.failure = failure(RouterError::KeyReusedWithOtherBody, Verdict::NotRun, {});
        break;
    case ClaimResult::Kind::Unavailable:
        result.failure = failure(RouterError::StateUnavailable, Verdict::NotRun, {});
        result.failure->retryAfter = std::chrono::seconds(1);
        break;
    }
    co_await answer(std::move(result));
}

Task<RequestRunner::AttemptResult> RequestRunner::runAttempts()
{
    std::set<BackendId> triedBackends;
    auto verdict = Verdict::NotRun;
    AttemptResult result;
    if (m_context.dispatcher.isQuarantined(m_request)) {
        result.failure = failure(RouterError::RequestQuarantined, verdict, {});
        result.failure->retryAfter = quarantineRetryAfter;
        co_return result;
    }
    for (;;) {
        result = co_await runOneAttempt(triedBackends);
        if (!result.failure)
            break;
        verdict = combine(verdict, result.failure->verdict);
        result.failure->verdict = verdict;
        if (!mayRetry(result))
            break;
        ++m_metrics.retries;
        logEvent(LogEvent::RequestRetried, "class={} attempt={} cause={}", m_request.requestClass->id.value(), m_attempts, codeOf(result.failure->error));
    }
    co_return result;
}

bool RequestRunner::mayRetry(const AttemptResult& result) const
{
    const auto& failed = *result.failure;
    const auto isUpstreamFailure = failed.error == RouterError::UpstreamConnectFailed || failed.error == RouterError::UpstreamBroken
        || failed.error == RouterError::UpstreamMalformed || failed.error == RouterError::UpstreamTimeout;
    if (!isUpstreamFailure || result.reachedCaller || m_writer.isCallerDisconnected() || m_attempts >= maxAttempts || m_context.dispatcher.isQuarantined(m_request))
        return false;
    const auto isSafe = m_request.mayRunMoreThanOnce || (failed.verdict == Verdict::NotRun && m_request.key);
    return isSafe && monotonicNow() < m_request.deadline && m_context.dispatcher.tryRetry(*m_request.requestClass);
}

Job RequestRunner::makeJob(RequestId id, const std::set<BackendId>& triedBackends) const
{
    const auto& requestClass = *m_request.requestClass;
    return {
        .id = id,
        .pool = m_request.pool,
        .workspace = m_request.workspace->id,
        .requestClass = requestClass.id,
        .tier = requestClass.tier,
        .isProtected = requestClass.isProtected,
        .isLong = requestClass.isLong,
        .isRepeat = m_isRepeat,
        .mayProbe = m_request.mayRunMoreThanOnce && !requestClass.isProtected,
        .hasCallerDeadline = m_request.hasCallerDeadline,
        .isStream = m_request.wantsStream,
        .bytes = m_http.body.size(),
        .arrival = m_request.arrival,
        .deadline = m_request.deadline,
        .prefix = m_request.prefix,
        .failedBackends = triedBackends,
    };
}

Task<RequestRunner::AttemptResult> RequestRunner::runOneAttempt(std::set<BackendId>& triedBackends)
{
    const auto id = m_context.dispatcher.nextId();
    setInterruption([this, id] { m_context.dispatcher.cancel(id); });
    const auto queuedAt = monotonicNow();
    const auto decision = co_await m_context.dispatcher.acquire(makeJob(id, triedBackends));
    m_metrics.queueing.add(monotonicNow() - queuedAt);
    AttemptResult result;
    if (decision.kind == Decision::Kind::Refuse) {
        const auto error = m_context.interrupts.isInterrupted() ? RouterError::Draining : decision.error;
        result.failure = failure(error, Verdict::NotRun, fmt::format("class `{}`", m_request.requestClass->id.value()));
        result.failure->retryAfter = decision.retryAfter;
        co_return result;
    }
    if (m_writer.isCallerDisconnected()) {
        m_context.dispatcher.recordFinished(id, false, 0);
        result.failure = failure(RouterError::CallerGone, Verdict::NotRun, {});
        co_return result;
    }
    ++m_attempts;
    ++m_metrics.attempts;
    triedBackends.insert(decision.backend);
    result = co_await callBackend(id, decision.backend);
    if (result.failure && result.failure->error == RouterError::UpstreamConnectFailed)
        m_context.dispatcher.markUnreachable(decision.backend);
    if (result.failure && result.failure->verdict != Verdict::NotRun)
        ++m_metrics.wastedAttempts;
    m_context.dispatcher.recordFinished(id, !result.failure, result.tokens);
    co_return result;
}

// The timeouts are far above the targets, so that a slow backend server can still answer, and short enough that an
// attempt at a silent one ends long before a caller gives up.
UpstreamTimeouts RequestRunner::makeTimeouts() const
{
    const auto& requestClass = *m_request.requestClass;
    const auto wholeAnswerTimeout = std::max(minUpstreamTimeout, requestClass.wholeAnswerTarget * wholeAnswerTimeoutFactor);
    UpstreamTimeouts timeouts;
    timeouts.head = m_request.wantsStream ? std::max(minUpstreamTimeout, requestClass.firstTokenTarget * firstTokenTimeoutFactor) : wholeAnswerTimeout;
    timeouts.chunk = std::max(minUpstreamTimeout, requestClass.interTokenTarget * interTokenTimeoutFactor);
    return timeouts;
}

std::string RequestRunner::attemptId(RequestId id) const
{
    return fmt::format("{:x}-{}", m_context.processIncarnation, id.value());
}

HttpRequest RequestRunner::makeUpstreamRequest(RequestId id) const
{
    HttpRequest request { .method = m_http.method, .target = m_http.target, .fields = {}, .body = m_http.body };
    if (const auto type = m_http.fields.find("Content-Type"); !type.empty())
        request.fields.add("Content-Type", std::string(type));
    request.fields.add(std::string(attemptIdField), attemptId(id));
    request.fields.add("X-Hickory-Priority", std::to_string(m_request.requestClass->tier.value()));
    request.fields.add("X-Hickory-Workspace", m_request.workspace->id.value());
    if (m_request.key)
        request.fields.add("Idempotency-Key", m_request.key->value());
    return request;
}

Task<RequestRunner::AttemptResult> RequestRunner::callBackend(RequestId id, const BackendId& backend)
{
    const auto call = m_context.upstream.open(backend.value(), makeTimeouts());
    setInterruption([&call = *call] { call.cancel(); });
    const auto sentAt = monotonicNow();
    const auto executor = co_await asio::this_coro::executor;
    const DeadlineWatch watch(executor, m_request.hasCallerDeadline ? std::optional(m_request.deadline) : std::nullopt, *call);
    const auto head = co_await call->begin(makeUpstreamRequest(id));
    AttemptResult result;
    result.failure = classifyHead(id, head, call->reusedConnection());
    result.hasBrokenOff = head.ec == RouterError::UpstreamBroken && head.verdict != Verdict::NotRun;
    if (!result.failure) {
        const auto isEventStream = head.fields.find("Content-Type").starts_with("text/event-stream");
        if (isEventStream)
            result = co_await relayStream(id, *call, head);
        else
            result = co_await readCompleteAnswer(*call, head);
    }
    // The callback refers to the call, which is destroyed at the end of this function.
    setInterruption({});
    const auto isGivenUp = result.failure && m_context.interrupts.isInterrupted();
    if (isGivenUp)
        result.failure->error = result.failure->verdict == Verdict::NotRun ? RouterError::Draining : RouterError::StoppedWaiting;
    if (result.failure && watch.hasPassed())
        result.failure->error = RouterError::DeadlinePassed;
    if (result.failure && m_writer.isCallerDisconnected())
        result.failure->error = RouterError::CallerGone;
    const auto isCrash = result.hasBrokenOff && !isGivenUp && !watch.hasPassed() && !m_writer.isCallerDisconnected();
    if (isCrash)
        m_context.dispatcher.recordBroken(m_request, backend, monotonicNow() - sentAt);
    co_return result;
}

std::optional<Refusal> RequestRunner::classifyHead(RequestId id, const UpstreamHead& head, bool reusedConnection) const
{
    if (head.ec)
        return failure(routerErrorOf(head.ec), head.verdict, {});
    const auto echo = head.fields.find(attemptIdField);
    if (!echo.empty() && echo != attemptId(id))
        return failure(RouterError::UpstreamMalformed, Verdict::MayHaveRun, "the answer carries the id of another attempt");
    if (!isGatewayError(head.status))
        return std::nullopt;
    // Without an id, it may be a late copy of a refusal of another request on the same connection.
    const auto isNamed = !echo.empty() || !reusedConnection;
    const auto saysNotRun = isNamed && head.fields.find("X-Hickory-Verdict") == toString(Verdict::NotRun);
    return failure(RouterError::UpstreamBroken, saysNotRun ? Verdict::NotRun : Verdict::MayHaveRun, fmt::format("the backend server answered with status {}", head.status));
}

void RequestRunner::recordFirstToken(RequestId id)
{
    if (std::exchange(m_sawFirstToken, true))
        return;
    m_context.dispatcher.recordFirstToken(id);
    const auto latency = monotonicNow() - m_request.arrival;
    m_metrics.firstToken.add(latency);
    if (latency <= m_request.requestClass->firstTokenTarget)
        ++m_metrics.firstTokenMet;
}

Task<RequestRunner::AttemptResult> RequestRunner::readCompleteAnswer(UpstreamCall& call, const UpstreamHead& head)
{
    AttemptResult result;
    result.held = std::make_shared<HeldAnswer>(m_context.answerBytes, head.contentLength(), [&call] { call.cancel(); });
    for (std::size_t size = 0;;) {
        const auto chunk = co_await call.readChunk();
        if (chunk.ec && !result.held->isWithdrawn()) {
            result.failure = failure(routerErrorOf(chunk.ec), Verdict::MayHaveRun, "the body of the answer is incomplete");
            result.hasBrokenOff = chunk.ec == RouterError::UpstreamBroken;
            result.held.reset(); // It refers to the call.
            co_return result;
        }
        size += chunk.bytes.size();
        if (size > maxAnswerBytes || !result.held->append(chunk.bytes)) {
            result.failure = failure(RouterError::UpstreamMalformed, Verdict::MayHaveRun, size > maxAnswerBytes ? "the answer is larger than 32 MiB" : "there is no memory for the answer");
            result.held.reset();
            co_return result;
        }
        if (chunk.isLast)
            break;
    }
    auto body = result.held->take();
    if (m_request.service->kind == ServiceKind::Model && !isJson(body)) {
        result.failure = failure(RouterError::UpstreamMalformed, Verdict::MayHaveRun, "the body of the answer is not valid JSON");
        co_return result;
    }
    if (m_request.wantsStream && head.status == 200) {
        result.failure = failure(RouterError::UpstreamMalformed, Verdict::MayHaveRun, "the caller asked for a stream, but the answer is not an event stream");
        co_return result;
    }
    result.answer = { .status = head.status, .fields = forwardedFields(head.fields), .body = std::move(body) };
    co_return result;
}

Task<RequestRunner::AttemptResult> RequestRunner::relayStream(RequestId id, UpstreamCall& call, const UpstreamHead& head)
{
    AttemptResult result;
    EventStreamScanner scanner;
    BufferBudget::Share held(m_context.answerBytes, [&call] { call.cancel(); });
    auto isLast = false;
    while (!isLast && !scanner.isComplete()) {
        const auto chunk = co_await call.readChunk();
        isLast = chunk.isLast;
        const auto events = scanner.feed(chunk.bytes);
        const auto isOversized = scanner.isOversized() || !held.resize(scanner.heldBytes());
        const auto isBroken = chunk.ec || isOversized || (isLast && !scanner.isComplete());
        if (isBroken) {
            const auto error = chunk.ec && !isOversized ? routerErrorOf(chunk.ec) : RouterError::UpstreamMalformed;
            result.failure = failure(error, Verdict::MayHaveRun, "the stream broke off before its end marker");
            result.hasBrokenOff = !isOversized && (!chunk.ec || chunk.ec == RouterError::UpstreamBroken);
            break;
        }
        if (events.empty()) {
            scanner.dropOutput();
            held.resize(scanner.heldBytes());
            continue;
        }
        recordFirstToken(id);
        std::error_code ec;
        if (!std::exchange(result.reachedCaller, true)) {
            auto fields = forwardedFields(head.fields);
            fields.add("X-Hickory-Verdict", std::string(toString(Verdict::MayHaveRun)));
            ec = co_await m_writer.startStream(head.status, fields);
        }
        if (!ec)
            ec = co_await m_writer.write(events);
        if (ec) {
            result.failure = failure(RouterError::CallerGone, Verdict::MayHaveRun, "the caller disconnected or reads too slowly");
            break;
        }
        scanner.dropOutput();
        held.resize(scanner.heldBytes()); // Less than before.
    }
    result.tokens = scanner.eventCount();
    // Reads the rest of the body's framing, so that the connection can be reused.
    if (!result.failure && !isLast)
        co_await call.readChunk();
    co_return result;
}

Task<void> RequestRunner::abortStream(const Refusal& refusal)
{
    logEvent(LogEvent::AnswerBroken, "class={} cause={}", m_request.requestClass->id.value(), codeOf(refusal.error));
    const auto event = fmt::format("event: error\ndata: {}\n\n", toJson(refusal));
    co_await m_writer.write(event);
    m_writer.abandon();
    co_await m_writer.finishStream();
}

void RequestRunner::recordOutcome(const AttemptResult& result)
{
    if (result.failure) {
        ++(result.failure->verdict == Verdict::NotRun ? m_metrics.refusedNotRun : m_metrics.failedMayHaveRun);
        return;
    }
    ++m_metrics.answered;
    const auto latency = monotonicNow() - m_request.arrival;
    m_metrics.wholeAnswer.add(latency);
    if (latency <= m_request.requestClass->wholeAnswerTarget)
        ++m_metrics.wholeAnswerMet;
    m_context.dispatcher.recordAnswered(m_request);
}

Task<void> RequestRunner::answer(AttemptResult result)
{
    recordOutcome(result);
    if (result.failure && result.reachedCaller) {
        co_await abortStream(*result.failure);
        co_return;
    }
    if (result.failure) {
        logEvent(LogEvent::RequestRefused, "class={} cause={} verdict={}", m_request.requestClass->id.value(), codeOf(result.failure->error), toString(result.failure->verdict));
        co_await m_writer.send(toResponse(*result.failure));
        co_return;
    }
    if (result.reachedCaller) {
        co_await m_writer.finishStream();
        co_return;
    }
    result.answer.fields.add("X-Hickory-Verdict", std::string(toString(Verdict::Ran)));
    co_await m_writer.send(std::move(result.answer));
}

} // namespace HickoryHollow
