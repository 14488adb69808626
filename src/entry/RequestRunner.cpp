#include "entry/RequestRunner.h"

#include "base/Digest.h"
#include "base/LogEvent.h"
#include "entry/Dispatcher.h"
#include "entry/OnceLedger.h"
#include "http/DeadlineWatch.h"
#include "http/EventStreamScanner.h"
#include "http/ResponseWriter.h"
#include "http/UpstreamClient.h"
#include "metrics/Metrics.h"
#include "net/Timer.h"

#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <fmt/format.h>

namespace HickoryHollow {

namespace {

constexpr std::uint32_t maxAttempts = 3;
constexpr Duration minHeadTimeout = std::chrono::seconds(10);
constexpr int firstTokenFactor = 10;
constexpr int betweenTokensFactor = 100;
constexpr int wholeAnswerFactor = 4;
constexpr std::size_t maxWholeAnswer = 32U << 20U;
constexpr std::string_view attemptField = "X-Hickory-Attempt-Id";

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

bool isJson(std::string_view text)
{
    boost::json::error_code ec;
    boost::json::parse(boost::json::string_view(text.data(), text.size()), ec);
    return !ec;
}

HttpFields passedFields(const HttpFields& fields)
{
    HttpFields passed;
    for (const auto* name : { "Content-Type", "Cache-Control", "Location", "ETag" }) {
        if (const auto value = fields.find(name); !value.empty())
            passed.add(name, std::string(value));
    }
    return passed;
}

} // namespace

RequestRunner::RequestRunner(RunnerContext context, const CallerRequest& request, const HttpRequest& http, ResponseWriter& writer)
    : m_context(context)
    , m_request(request)
    , m_http(http)
    , m_writer(writer)
    , m_metrics(context.metrics.of(request.requestClass->id))
{
}

Task<void> RequestRunner::run()
{
    ++m_metrics.requests;
    m_isRepeat = m_context.dispatcher.noteRequest(m_request);
    if (m_isRepeat)
        ++m_metrics.repeats;
    if (const auto wait = m_context.dispatcher.enterWorkspace(*m_request.workspace)) {
        auto refused = failure(RouterError::WorkspaceLimit, Verdict::NotRun, fmt::format("workspace `{}`", m_request.workspace->id.value()));
        refused.retryAfter = *wait;
        ++m_metrics.refusedNotRun;
        co_await m_writer.send(toResponse(refused));
        co_return;
    }
    if (!m_request.mayRepeat && m_request.key)
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
    const ClaimKey key { .workspace = m_request.workspace->id, .service = m_request.service->id, .key = *m_request.key, .requestDigest = sha256Hex(m_http.method + "\n" + m_http.target + "\n" + m_http.body) };
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
        result.failure = failure(RouterError::KeyOutcomeUnknown, Verdict::MayHaveRun, "it will not be sent again");
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
    std::set<BackendId> tried;
    auto verdict = Verdict::NotRun;
    AttemptResult result;
    for (;;) {
        result = co_await runOneAttempt(tried);
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
    if (!isUpstreamFailure || result.reachedCaller || m_writer.callerGone() || m_attempts >= maxAttempts)
        return false;
    const auto isSafe = m_request.mayRepeat || (failed.verdict == Verdict::NotRun && m_request.key);
    return isSafe && monotonicNow() < m_request.deadline && m_context.dispatcher.tryRetry(*m_request.requestClass);
}

Job RequestRunner::makeJob(RequestId id, const std::set<BackendId>& tried) const
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
        .mayProbe = m_request.mayRepeat && !requestClass.isProtected,
        .mustFinish = m_request.hasCallerDeadline,
        .isStream = m_request.wantsStream,
        .bytes = m_http.body.size(),
        .arrival = m_request.arrival,
        .deadline = m_request.deadline,
        .prefix = m_request.prefix,
        .excluded = tried,
    };
}

Task<RequestRunner::AttemptResult> RequestRunner::runOneAttempt(std::set<BackendId>& tried)
{
    const auto id = m_context.dispatcher.nextId();
    m_writer.onCallerGone([this, id] { m_context.dispatcher.cancel(id); });
    const auto queuedAt = monotonicNow();
    const auto decision = co_await m_context.dispatcher.acquire(makeJob(id, tried));
    m_metrics.queueing.add(monotonicNow() - queuedAt);
    AttemptResult result;
    if (decision.kind == Decision::Kind::Refuse) {
        result.failure = failure(decision.error, Verdict::NotRun, fmt::format("class `{}`", m_request.requestClass->id.value()));
        result.failure->retryAfter = decision.retryAfter;
        co_return result;
    }
    if (m_writer.callerGone()) {
        m_context.dispatcher.finished(id, false, 0);
        result.failure = failure(RouterError::CallerGone, Verdict::NotRun, {});
        co_return result;
    }
    ++m_attempts;
    ++m_metrics.attempts;
    tried.insert(decision.backend);
    result = co_await callBackend(id, decision.backend);
    if (result.failure && result.failure->error == RouterError::UpstreamConnectFailed)
        m_context.dispatcher.markUnreachable(decision.backend);
    if (result.failure && result.failure->verdict != Verdict::NotRun)
        ++m_metrics.wastedAttempts;
    m_context.dispatcher.finished(id, !result.failure, result.tokens);
    co_return result;
}

// A silent backend server is given up long after the target and long before a caller would despair.
UpstreamTimeouts RequestRunner::timeouts() const
{
    const auto& requestClass = *m_request.requestClass;
    const auto longest = std::max(minHeadTimeout, requestClass.wholeAnswerTarget * wholeAnswerFactor);
    UpstreamTimeouts timeouts;
    timeouts.head = m_request.wantsStream ? std::max(minHeadTimeout, requestClass.firstTokenTarget * firstTokenFactor) : longest;
    timeouts.piece = std::max(minHeadTimeout, requestClass.interTokenTarget * betweenTokensFactor);
    return timeouts;
}

std::string RequestRunner::attemptName(RequestId id) const
{
    return fmt::format("{:x}-{}", m_context.processIncarnation, id.value());
}

HttpRequest RequestRunner::upstreamRequest(RequestId id) const
{
    HttpRequest request { .method = m_http.method, .target = m_http.target, .fields = {}, .body = m_http.body };
    if (const auto type = m_http.fields.find("Content-Type"); !type.empty())
        request.fields.add("Content-Type", std::string(type));
    request.fields.add(std::string(attemptField), attemptName(id));
    request.fields.add("X-Hickory-Priority", std::to_string(m_request.requestClass->tier.value()));
    request.fields.add("X-Hickory-Workspace", m_request.workspace->id.value());
    if (m_request.key)
        request.fields.add("Idempotency-Key", m_request.key->value());
    return request;
}

Task<RequestRunner::AttemptResult> RequestRunner::callBackend(RequestId id, const BackendId& backend)
{
    const auto call = m_context.upstream.open(backend.value(), timeouts());
    m_writer.onCallerGone([&call = *call] { call.cancel(); });
    const auto executor = co_await asio::this_coro::executor;
    const DeadlineWatch watch(executor, m_request.hasCallerDeadline ? std::optional(m_request.deadline) : std::nullopt, *call);
    const auto head = co_await call->begin(upstreamRequest(id));
    AttemptResult result;
    result.failure = judgeHead(id, head);
    if (!result.failure) {
        const auto isEventStream = head.fields.find("Content-Type").starts_with("text/event-stream");
        if (isEventStream)
            result = co_await relayStream(id, *call, head);
        else
            result = co_await readWhole(*call, head);
    }
    // The callback holds a reference to the call, which ends here.
    m_writer.onCallerGone({});
    if (result.failure && watch.hasPassed())
        result.failure->error = RouterError::DeadlinePassed;
    if (result.failure && m_writer.callerGone())
        result.failure->error = RouterError::CallerGone;
    co_return result;
}

std::optional<Refusal> RequestRunner::judgeHead(RequestId id, const UpstreamHead& head) const
{
    if (head.ec)
        return failure(routerErrorOf(head.ec), head.verdict, {});
    const auto echo = head.fields.find(attemptField);
    if (!echo.empty() && echo != attemptName(id))
        return failure(RouterError::UpstreamMalformed, Verdict::MayHaveRun, "the answer belongs to another attempt");
    if (!isGatewayError(head.status))
        return std::nullopt;
    const auto saysNotRun = head.fields.find("X-Hickory-Verdict") == toString(Verdict::NotRun);
    return failure(RouterError::UpstreamBroken, saysNotRun ? Verdict::NotRun : Verdict::MayHaveRun, fmt::format("the backend server answered {}", head.status));
}

void RequestRunner::noteFirstToken(RequestId id)
{
    if (std::exchange(m_sawFirstToken, true))
        return;
    m_context.dispatcher.firstToken(id);
    const auto latency = monotonicNow() - m_request.arrival;
    m_metrics.firstToken.add(latency);
    if (latency <= m_request.requestClass->firstTokenTarget)
        ++m_metrics.firstTokenMet;
}

Task<RequestRunner::AttemptResult> RequestRunner::readWhole(UpstreamCall& call, const UpstreamHead& head)
{
    AttemptResult result;
    std::string body;
    for (;;) {
        const auto piece = co_await call.readPiece();
        if (piece.ec) {
            result.failure = failure(routerErrorOf(piece.ec), Verdict::MayHaveRun, "the answer broke off");
            co_return result;
        }
        body.append(piece.bytes);
        if (body.size() > maxWholeAnswer) {
            result.failure = failure(RouterError::UpstreamMalformed, Verdict::MayHaveRun, "the answer is larger than 32 MB");
            co_return result;
        }
        if (piece.isLast)
            break;
    }
    if (m_request.service->kind == ServiceKind::Model && !isJson(body)) {
        result.failure = failure(RouterError::UpstreamMalformed, Verdict::MayHaveRun, "the answer is not JSON");
        co_return result;
    }
    if (m_request.wantsStream && head.status == 200) {
        result.failure = failure(RouterError::UpstreamMalformed, Verdict::MayHaveRun, "the answer is not a stream");
        co_return result;
    }
    result.answer = { .status = head.status, .fields = passedFields(head.fields), .body = std::move(body) };
    co_return result;
}

Task<RequestRunner::AttemptResult> RequestRunner::relayStream(RequestId id, UpstreamCall& call, const UpstreamHead& head)
{
    AttemptResult result;
    EventStreamScanner scanner;
    auto isLast = false;
    while (!isLast && !scanner.isComplete()) {
        const auto piece = co_await call.readPiece();
        isLast = piece.isLast;
        const auto events = scanner.feed(piece.bytes);
        const auto isBroken = piece.ec || scanner.isOversized() || (isLast && !scanner.isComplete());
        if (isBroken) {
            const auto error = piece.ec ? routerErrorOf(piece.ec) : RouterError::UpstreamMalformed;
            result.failure = failure(error, Verdict::MayHaveRun, "the stream ended without its end marker");
            break;
        }
        if (events.empty())
            continue;
        noteFirstToken(id);
        std::error_code ec;
        if (!std::exchange(result.reachedCaller, true)) {
            auto fields = passedFields(head.fields);
            fields.add("X-Hickory-Verdict", std::string(toString(Verdict::MayHaveRun)));
            ec = co_await m_writer.startStream(head.status, fields);
        }
        if (!ec)
            ec = co_await m_writer.write(events);
        if (ec) {
            result.failure = failure(RouterError::CallerGone, Verdict::MayHaveRun, "the caller does not read");
            break;
        }
    }
    result.tokens = scanner.events();
    // Reads the end of the framing, so that the connection can be used again.
    if (!result.failure && !isLast)
        co_await call.readPiece();
    co_return result;
}

Task<void> RequestRunner::breakStream(const Refusal& refusal)
{
    logEvent(LogEvent::AnswerBroken, "class={} cause={}", m_request.requestClass->id.value(), codeOf(refusal.error));
    const auto event = fmt::format("event: error\ndata: {}\n\n", toJson(refusal));
    co_await m_writer.write(event);
    m_writer.abandon();
    co_await m_writer.finishStream();
}

void RequestRunner::noteEnd(const AttemptResult& result)
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
    m_context.dispatcher.noteAnswered(m_request);
}

Task<void> RequestRunner::answer(AttemptResult result)
{
    noteEnd(result);
    if (result.failure && result.reachedCaller) {
        co_await breakStream(*result.failure);
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
