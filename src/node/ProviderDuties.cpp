#include "node/ProviderDuties.h"

#include "base/LogEvent.h"
#include "http/UpstreamClient.h"
#include "net/Timer.h"
#include "state/StateNode.h"
#include "usage/UsageSource.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <numeric>
#include <random>

namespace HickoryHollow {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(50);
// After an election entry instances look for another state instance and send it the counts that only the former one had.
constexpr Duration countsSettleTime = std::chrono::seconds(2);

// Machines that are replaced keep their names and lose their disks, so the number of a start is not enough: two machines must not hold
// the same token. The upper bits rise with time.
Incarnation newIncarnation()
{
    constexpr unsigned randomBits = 24;
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    std::random_device device;
    return Incarnation((static_cast<std::uint64_t>(seconds) << randomBits) | (device() & ((1U << randomBits) - 1)));
}

std::int64_t wholeMilliseconds(Duration time)
{
    return time / std::chrono::milliseconds(1);
}

} // namespace

ProviderDuties::ProviderDuties(asio::io_context& loop, const Options& options, const ProviderCodec& codec)
    : m_loop(loop)
    , m_options(options)
    , m_isAlive(std::make_shared<bool>(true))
    , m_incarnation(newIncarnation())
    , m_policy({ .self = options.self, .incarnation = m_incarnation, .lease = options.provider.lease })
    , m_schedule({ .windowLength = options.provider.usageWindow, .delay = options.provider.usageDelay })
    , m_upstream(makeUpstreamClient(loop, { .acceptsCloseDelimited = true, .maxIdlePerServer = 4 }))
    , m_client(std::make_unique<ProviderClient>(loop.get_executor(), ProviderClient::Options { .holder = options.self, .address = options.provider.address, .isFenced = options.provider.isFenced, .callsPerSecond = options.provider.dutyCallsPerSecond }, *m_upstream, codec, static_cast<DutyPermission&>(*this)))
{
}

ProviderDuties::~ProviderDuties()
{
    *m_isAlive = false;
}

void ProviderDuties::start(StateNode& node)
{
    m_node = &node;
    asio::co_spawn(m_loop, tickLoop(), asio::detached);
}

void ProviderDuties::onFlushed(const StateCore& core)
{
    m_lastFlushed = readDutyState(core, m_lastFlushed, monotonicNow());
    const std::lock_guard lock(m_mutex);
    m_flushed = m_lastFlushed;
}

void ProviderDuties::refresh(TimePoint now)
{
    DutyState state;
    {
        const std::lock_guard lock(m_mutex);
        state = m_flushed;
    }
    if (!state.usage)
        return; // Nothing was flushed yet.
    const auto isOwn = [this](const DutyState& it) { return it.duties.holder == m_options.self && it.duties.incarnation == m_incarnation; };
    // Nobody else made calls between two tokens of the same process.
    if (isOwn(state) && !isOwn(m_policy.state()))
        m_client->startAfterOther(now);
    m_policy.update(state, now);
    m_schedule.update(state.usage);
}

std::optional<FencingToken> ProviderDuties::tokenFor(const DutySubject& subject)
{
    const auto now = monotonicNow();
    refresh(now);
    return m_policy.tokenFor(subject, now);
}

bool ProviderDuties::holdsDuties()
{
    const auto now = monotonicNow();
    refresh(now);
    return m_policy.token(now).has_value();
}

void ProviderDuties::supersede(const DutySubject& subject, FencingToken token)
{
    logEvent(LogEvent::DutySuperseded, "subject={} token={} holder={} present_token={}", toString(subject), token.value(), m_policy.state().duties.holder.value(), m_policy.state().duties.token.value());
    m_policy.supersede(subject, token, monotonicNow());
}

Task<void> ProviderDuties::tickLoop()
{
    Timer timer(m_loop.get_executor());
    for (;;) {
        timer.expires_after(tickInterval);
        co_await timer.async_wait(asTuple);
        const auto now = monotonicNow();
        refresh(now);
        logChange(now);
        takeDuties(now);
        const auto token = m_policy.token(now);
        if (!token || !m_options.provider.reportsUsage)
            continue;
        fixNextWindow(*token, now);
        recordNextAcknowledged();
        sendDueReports(now);
        logOverdue(now);
    }
}

void ProviderDuties::logChange(TimePoint now)
{
    const auto token = m_policy.token(now);
    if (token == m_loggedToken)
        return;
    const auto& duties = m_policy.state().duties;
    if (token)
        logEvent(LogEvent::DutiesTaken, "instance={} token={} led_ms={}", m_options.self.value(), token->value(), wholeMilliseconds(m_policy.ledFor(now)));
    else
        logEvent(LogEvent::DutiesLost, "instance={} token={} cause={} holder={}", m_options.self.value(), m_loggedToken->value(), duties.token == *m_loggedToken ? "unconfirmed" : "taken-over", duties.holder.value());
    m_loggedToken = token;
}

void ProviderDuties::takeDuties(TimePoint now)
{
    if (!m_policy.shouldTake(now))
        return;
    m_policy.takeProposed();
    propose(TakeDuties { .holder = m_options.self, .incarnation = m_incarnation }, [this](bool) { m_policy.takeAnswered(monotonicNow()); });
}

std::optional<std::chrono::milliseconds> ProviderDuties::trueTime(TimePoint now) const
{
    return m_source ? m_source->trueTime(now) : std::nullopt;
}

void ProviderDuties::fixNextWindow(FencingToken token, TimePoint now)
{
    const auto time = trueTime(now);
    if (!time || m_policy.ledFor(now) < countsSettleTime)
        return;
    const auto fix = m_schedule.nextFix(*time, m_policy.heldFor(now));
    if (!fix)
        return;
    UsageCounts counts { .window = fix->window, .starts = {} };
    if (!fix->isStart)
        counts.starts = m_source->countsOf(fix->window).starts;
    const auto requests = std::accumulate(counts.starts.begin(), counts.starts.end(), std::uint64_t { 0 }, [](auto sum, const auto& it) { return sum + it.second; });
    const auto age = *time - m_schedule.endOf(fix->window);
    m_schedule.fixProposed();
    propose(FixUsage { .counts = counts, .token = token, .isStart = fix->isStart }, [this, fix = *fix, requests, workspaces = counts.starts.size(), age](bool isCommitted) {
        m_schedule.fixAnswered();
        if (isCommitted && !fix.isStart)
            logEvent(LogEvent::UsageFixed, "window={} requests={} workspaces={} age_ms={} skipped={}", fix.window.value(), requests, workspaces, age.count(), fix.skipped);
    });
}

void ProviderDuties::recordNextAcknowledged()
{
    const auto window = m_schedule.nextToRecord();
    if (!window)
        return;
    m_schedule.recordProposed();
    propose(UsageSent { .window = *window }, [this](bool) { m_schedule.recordAnswered(); });
}

void ProviderDuties::sendDueReports(TimePoint now)
{
    while (m_policy.tokenFor({}, now)) {
        const auto report = m_schedule.startNext(now);
        if (!report)
            return;
        asio::co_spawn(m_loop, sendReport(*report), asio::detached);
    }
}

Task<void> ProviderDuties::sendReport(UsageCounts counts)
{
    const auto outcome = co_await m_client->reportUsage(counts);
    const auto now = monotonicNow();
    const auto attempts = m_schedule.attempts(counts.window);
    if (!m_schedule.finish(counts.window, outcome, now))
        co_return;
    const auto time = trueTime(now);
    logEvent(LogEvent::UsageSent, "window={} attempts={} age_ms={}", counts.window.value(), attempts, time ? (*time - m_schedule.endOf(counts.window)).count() : -1);
}

void ProviderDuties::logOverdue(TimePoint now)
{
    const auto time = trueTime(now);
    if (!time)
        return;
    const auto owed = m_schedule.owed(*time);
    if (owed.windows == 0 || owed.overdue <= Duration::zero() || owed.oldest <= m_lastOverdue)
        return;
    m_lastOverdue = owed.oldest;
    logEvent(LogEvent::UsageOverdue, "window={} overdue_ms={} attempts={} owed={}", owed.oldest.value(), wholeMilliseconds(owed.overdue), m_schedule.attempts(owed.oldest), owed.windows);
}

void ProviderDuties::propose(CommandBody body, std::function<void(bool isCommitted)> answered)
{
    m_node->propose(std::move(body), [this, alive = m_isAlive, answered = std::move(answered)](const ProposalResult& result) {
        asio::post(m_loop, [alive, answered, isCommitted = result.kind == ProposalResult::Kind::Committed] {
            if (*alive)
                answered(isCommitted);
        });
    });
}

std::string ProviderDuties::metricsText() const
{
    const auto now = monotonicNow();
    const auto& duties = m_policy.state().duties;
    const auto owed = m_schedule.owed(trueTime(now).value_or(std::chrono::milliseconds(0)));
    auto text = fmt::format("hickoryhollow_duties_held {}\nhickoryhollow_duties_token {}\nhickoryhollow_usage_windows_owed {}\n", m_policy.token(now) ? 1 : 0, duties.token.value(), owed.windows);
    if (!duties.holder.value().empty())
        text += fmt::format("hickoryhollow_duties_holder{{instance=\"{}\"}} 1\n", duties.holder.value());
    const auto addCalls = [&text](std::string_view call, const auto& counts) {
        for (std::size_t i = 0; i < counts.size(); ++i)
            text += fmt::format("hickoryhollow_provider_calls_total{{call=\"{}\",outcome=\"{}\"}} {}\n", call, toString(static_cast<ProviderOutcome>(i)), counts[i]);
    };
    addCalls("usage", m_client->counts().reports);
    addCalls("scale", m_client->counts().orders);
    return text;
}

std::string ProviderDuties::toJson() const
{
    const auto now = monotonicNow();
    const auto& duties = m_policy.state().duties;
    const auto time = trueTime(now);
    const auto owed = m_schedule.owed(time.value_or(std::chrono::milliseconds(0)));
    boost::json::object body {
        { "holder", duties.holder.value() },
        { "token", duties.token.value() },
        { "since_ms", duties.since.value() },
        { "held_here", m_policy.token(now).has_value() },
        { "windows_owed", owed.windows },
        { "oldest_owed", owed.oldest.value() },
        { "true_time_known", time.has_value() },
    };
    return boost::json::serialize(body);
}

} // namespace HickoryHollow
