#include "state/StateNode.h"

#include "base/Check.h"
#include "base/LogEvent.h"
#include "base/SeededRandom.h"
#include "storage/PosixFileSystem.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <future>
#include <random>

namespace HickoryHollow {

namespace {

// Replica ids must differ between data folders, so the seed comes from the operating system.
std::uint64_t systemSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

LedgerTime wallClock()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return LedgerTime(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count()));
}

} // namespace

StateNode::StateNode(Options options, SendMessage send)
    : m_options(std::move(options))
    , m_send(std::move(send))
    , m_files(openDataFolder(m_options.dataFolder))
    , m_random(std::make_unique<SeededRandom>(systemSeed()))
    , m_core(m_options.core, *m_files, *m_random)
{
    if (const auto ec = m_core.open(monotonicNow())) {
        logEvent(ec == JournalError::Damaged ? LogEvent::StorageDamaged : LogEvent::StorageFailed, "folder={} cause={}", m_options.dataFolder, ec.message());
        if (ec == JournalError::Damaged)
            throw UserError(fmt::format("data folder {}: {}; move it away so that this instance rejoins as a new replica, see docs/operators/state.md", m_options.dataFolder, ec.message()));
    }
    if (m_core.truncatedBytes() > 0)
        logEvent(LogEvent::StorageTailCut, "folder={} bytes={}", m_options.dataFolder, m_core.truncatedBytes());
    m_thread = std::thread([this] { runThread(); });
}

StateNode::~StateNode()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_one();
    m_thread.join();
}

void StateNode::post(Input input)
{
    {
        const std::lock_guard lock(m_mutex);
        m_inbox.push_back(std::move(input));
    }
    m_wake.notify_one();
}

void StateNode::deliver(AgreementMessage message)
{
    post([this, message = std::move(message)](TimePoint now) { m_core.receive(message, now); });
}

void StateNode::propose(CommandBody body, ProposalCallback callback)
{
    post([this, body = std::move(body), callback = std::move(callback)](TimePoint now) {
        const ProposalId id(++m_lastProposal);
        m_callbacks.emplace(id, callback);
        m_core.propose(id, body, wallClock(), now);
    });
}

void StateNode::pollSettings(SettingsVersion known, PollCallback callback)
{
    post([this, known, callback = std::move(callback)](TimePoint) {
        m_readsAfterFlush.emplace_back([this, known, callback](TimePoint now) {
            const auto* settings = m_core.currentSettings(now);
            std::optional<SharedState::Settings> answer;
            if (settings && settings->version == known)
                answer = SharedState::Settings { .version = known, .author = {}, .inventory = {}, .rules = {} };
            else if (settings)
                answer = *settings;
            callback(std::move(answer), m_core.leader());
        });
    });
}

void StateNode::runBeforeFlush(std::function<void(StateCore&, TimePoint)> work)
{
    post([this, work = std::move(work)](TimePoint now) { work(m_core, now); });
}

void StateNode::runAfterFlush(std::function<void(const StateCore&, TimePoint)> work)
{
    post([this, work = std::move(work)](TimePoint) {
        m_readsAfterFlush.emplace_back([this, work](TimePoint now) { work(m_core, now); });
    });
}

std::string StateNode::form()
{
    std::promise<std::string> promise;
    post([&](TimePoint now) { promise.set_value(m_core.form(now)); });
    return promise.get_future().get();
}

boost::json::value StateNode::dump()
{
    std::promise<boost::json::value> promise;
    post([&](TimePoint now) { promise.set_value(describe(now)); });
    return promise.get_future().get();
}

boost::json::value StateNode::describe(TimePoint now) const
{
    namespace json = boost::json;
    json::object body { { "failure", m_core.failure() ? m_core.failure().message() : "" }, { "stale_disks", m_core.staleDiskCount() } };
    const auto* replica = m_core.replica();
    if (!replica)
        return body;
    json::array members;
    for (const auto& it : replica->members())
        members.push_back(json::object { { "instance", it.instance.value() }, { "replica", fmt::format("{:x}", it.replica.value()) } });
    body["role"] = replica->role() == Replica::Role::Leader ? "leader" : "follower";
    body["leader"] = m_core.leader() ? m_core.leader()->value() : "";
    body["term"] = replica->term().value();
    body["committed"] = replica->commitIndex().value();
    body["last_index"] = replica->lastIndex().value();
    body["members"] = members;
    body["may_serve_reads"] = replica->mayServeReads(now);
    body["settings_version"] = m_core.state().settings().version.value();
    body["settings_author"] = m_core.state().settings().author;
    body["claims"] = m_core.state().claims().size();
    body["claim_bytes"] = m_core.state().claimBytes();
    return body;
}

void StateNode::runThread()
{
    for (;;) {
        std::vector<Input> batch;
        {
            std::unique_lock lock(m_mutex);
            m_wake.wait_for(lock, m_options.tickInterval, [this] { return m_isStopping || !m_inbox.empty(); });
            if (m_isStopping)
                return;
            const auto n = std::min(m_inbox.size(), m_options.maxBatch);
            const auto end = m_inbox.begin() + static_cast<std::ptrdiff_t>(n);
            batch.assign(std::make_move_iterator(m_inbox.begin()), std::make_move_iterator(end));
            m_inbox.erase(m_inbox.begin(), end);
        }
        runBatch(batch);
    }
}

void StateNode::runBatch(std::vector<Input>& batch)
{
    const auto now = monotonicNow();
    for (const auto& it : batch)
        it(now);
    m_core.tick(now);
    const auto effects = m_core.flush(now);
    for (const auto& it : effects.messages)
        m_send(it);
    for (const auto& it : effects.results) {
        const auto callback = m_callbacks.extract(it.id);
        if (!callback.empty())
            callback.mapped()(it);
    }
    if (m_options.onFlushed)
        m_options.onFlushed(m_core);
    const auto reads = std::exchange(m_readsAfterFlush, {});
    for (const auto& it : reads)
        it(monotonicNow());
    if (effects.leadershipChanged)
        logEvent(m_core.isLeader() ? LogEvent::LeaderElected : LogEvent::LeaderLost, "instance={}", m_options.core.self.value());
}

} // namespace HickoryHollow
