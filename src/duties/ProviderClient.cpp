#include "duties/ProviderClient.h"

#include "base/RouterError.h"
#include "http/DeadlineWatch.h"
#include "http/UpstreamClient.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

constexpr Duration minTimeout = std::chrono::seconds(1);
constexpr Duration maxTimeout = std::chrono::seconds(4);
constexpr int timeoutPerAnswerTime = 3; // A provider that has become slow is not asked again before it has answered.
constexpr std::size_t maxAnswerBytes = 64UL << 10U; // Answers say nothing beyond their status; longer ones are not read.

void count(std::array<std::uint64_t, 5>& counts, ProviderOutcome outcome)
{
    ++counts.at(static_cast<std::size_t>(outcome));
}

// Lets the connection be used again.
Task<void> readToEnd(UpstreamCall& call)
{
    for (std::size_t n = 0; n < maxAnswerBytes;) {
        const auto chunk = co_await call.readChunk();
        if (chunk.ec || chunk.isLast)
            co_return;
        n += chunk.bytes.size();
    }
}

} // namespace

ProviderClient::ProviderClient(Executor executor, Options options, UpstreamClient& upstream, const ProviderCodec& codec, DutyPermission& permission)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
    , m_upstream(upstream)
    , m_codec(codec)
    , m_permission(permission)
    , m_rate(m_options.callsPerSecond)
    , m_timeout(minTimeout)
{
}

bool ProviderClient::holdsDuties() const
{
    return m_permission.holdsDuties();
}

Task<ProviderClient::Result> ProviderClient::call(const DutySubject& subject, const MakeRequest& makeRequest)
{
    Result result;
    const auto token = m_permission.tokenFor(subject);
    if (!token) {
        result.outcome = ProviderOutcome::Superseded;
        co_return result;
    }
    result.token = *token;
    const auto begunAt = monotonicNow();
    if (!m_rate.mayCall(begunAt)) {
        result.outcome = ProviderOutcome::Busy;
        co_return result;
    }
    const UpstreamTimeouts timeouts { .head = m_timeout, .chunk = m_timeout };
    const auto upstream = m_upstream.open(m_options.address, timeouts);
    upstream->checkBeforeSending([&](HttpRequest&) {
        const auto now = monotonicNow();
        if (m_permission.tokenFor(subject) != token)
            result.outcome = ProviderOutcome::Superseded;
        else if (!m_rate.mayCall(now))
            result.outcome = ProviderOutcome::Busy;
        else {
            m_rate.record(now);
            return true;
        }
        return false;
    });
    const DeadlineWatch watch(m_executor, begunAt + m_timeout, *upstream);
    const auto request = makeRequest({ .holder = m_options.holder, .token = *token });
    const auto head = co_await upstream->begin(request);
    if (head.ec == RouterError::SendForbidden)
        co_return result;
    if (head.ec) {
        m_timeout = std::min(2 * m_timeout, maxTimeout);
        co_return result;
    }
    m_timeout = std::clamp(timeoutPerAnswerTime * (monotonicNow() - begunAt), minTimeout, maxTimeout);
    const auto reply = m_codec.readReply(head.status);
    result.isRefused = reply == ProviderCodec::Reply::Refused;
    if (reply == ProviderCodec::Reply::Accepted)
        result.outcome = ProviderOutcome::Accepted;
    else if (reply == ProviderCodec::Reply::Busy)
        result.outcome = ProviderOutcome::Busy;
    if (!head.isCloseDelimited)
        co_await readToEnd(*upstream);
    co_return result;
}

Task<ProviderOutcome> ProviderClient::reportUsage(const UsageCounts& counts)
{
    const DutySubject subject;
    const MakeRequest makeRequest = [&](const DutyCredentials& credentials) { return m_codec.usageReport(credentials, counts); };
    auto result = co_await call(subject, makeRequest);
    if (result.isRefused && m_options.isFenced) {
        m_permission.supersede(subject, result.token);
        result.outcome = ProviderOutcome::Superseded;
    }
    count(m_counts.reports, result.outcome);
    co_return result.outcome;
}

Task<ProviderOutcome> ProviderClient::orderServers(const ServerOrder& order)
{
    const DutySubject subject { .service = order.service, .domain = order.domain };
    const MakeRequest makeRequest = [&](const DutyCredentials& credentials) { return m_codec.serverOrder(credentials, order); };
    auto result = co_await call(subject, makeRequest);
    if (result.isRefused) {
        // As long as the permission is valid, no other instance can have used a higher token.
        const auto isNoneAvailable = !m_options.isFenced || (order.isReclaimable && m_permission.tokenFor(subject) == result.token);
        result.outcome = isNoneAvailable ? ProviderOutcome::NoneAvailable : ProviderOutcome::Superseded;
        if (!isNoneAvailable)
            m_permission.supersede(subject, result.token);
    }
    count(m_counts.orders, result.outcome);
    co_return result.outcome;
}

} // namespace HickoryHollow
