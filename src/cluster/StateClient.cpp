#include "cluster/StateClient.h"

#include "net/Timer.h"
#include "wire/Signed.h"
#include "wire/gen/hickoryhollow_types.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

constexpr std::chrono::milliseconds proposalRetryDelay { 50 };

} // namespace

struct StateClient::PendingCall {
    explicit PendingCall(asio::io_context& loop)
        : timer(loop.get_executor())
    {
    }

    Timer timer;
    std::optional<Wire::Reply> reply;
};

StateClient::StateClient(asio::io_context& loop, Options options, SendRequest send)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_send(std::move(send))
{
}

StateClient::~StateClient() = default;

InstanceId StateClient::target() const
{
    return m_leader ? *m_leader : m_options.stateInstances[m_nextIndex % m_options.stateInstances.size()];
}

Task<bool> StateClient::call(Wire::Request& request, Wire::Reply& reply)
{
    const auto id = ++m_lastId;
    request.id = toSigned(id);
    const auto pending = std::make_shared<PendingCall>(m_loop);
    m_pendingCalls.emplace(id, pending);
    pending->timer.expires_after(m_options.callTimeout);
    m_send(target(), request);
    if (!pending->reply)
        co_await pending->timer.async_wait(asTuple);
    m_pendingCalls.erase(id);
    if (!pending->reply) {
        m_leader.reset();
        ++m_nextIndex;
        co_return false;
    }
    reply = *pending->reply;
    if (reply.__isset.notLeader)
        followRedirect(reply);
    co_return !reply.__isset.notLeader;
}

void StateClient::followRedirect(const Wire::Reply& reply)
{
    m_leader.reset();
    if (reply.notLeader.__isset.leader)
        m_leader = InstanceId(reply.notLeader.leader);
    else
        ++m_nextIndex;
}

void StateClient::deliver(const Wire::Reply& reply)
{
    const auto it = m_pendingCalls.find(toUnsigned(reply.id));
    if (it == m_pendingCalls.end())
        return;
    it->second->reply = reply;
    it->second->timer.cancel();
}

Task<std::optional<CommandOutcome>> StateClient::propose(CommandBody body, Duration timeout)
{
    const auto deadline = monotonicNow() + timeout;
    Wire::Request request;
    Wire::ProposeRequest proposal;
    proposal.body = toWire(body);
    request.__set_propose(proposal);
    std::optional<CommandOutcome> outcome;
    while (!outcome && monotonicNow() < deadline) {
        Wire::Reply reply;
        const auto isAnswered = co_await call(request, reply);
        if (isAnswered && reply.__isset.propose && reply.propose.__isset.outcome) {
            outcome = fromWire(reply.propose.outcome);
            break;
        }
        Timer pause(m_loop.get_executor());
        pause.expires_after(proposalRetryDelay);
        co_await pause.async_wait(asTuple);
    }
    co_return outcome;
}

Task<std::optional<SharedState::Settings>> StateClient::pollSettings(SettingsVersion knownVersion)
{
    Wire::Request request;
    Wire::SettingsPoll poll;
    poll.known = toSigned(knownVersion.value());
    request.__set_poll(poll);
    Wire::Reply reply;
    std::optional<SharedState::Settings> settings;
    const auto isAnswered = co_await call(request, reply);
    if (isAnswered && reply.__isset.poll) {
        settings.emplace();
        settings->version = SettingsVersion(toUnsigned(reply.poll.version));
        if (reply.poll.__isset.settings)
            settings = fromWire(reply.poll.settings);
    }
    co_return settings;
}

} // namespace HickoryHollow
