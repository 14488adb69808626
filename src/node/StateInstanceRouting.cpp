#include "node/StateInstance.h"

#include "base/LogEvent.h"
#include "net/Timer.h"
#include "node/PendingValue.h"
#include "routing/RoutingDecoder.h"
#include "wire/LedgerCodec.h"
#include "wire/Signed.h"
#include "wire/gen/hickoryhollow_types.h"

#include <boost/asio/post.hpp>

namespace HickoryHollow {

namespace {

constexpr Duration confirmationRoundTimeout = std::chrono::milliseconds(400);
// An operator's client turns to another instance after 1 s.
constexpr Duration operatorRequestTimeout = std::chrono::milliseconds(900);
constexpr Duration retryDelay = std::chrono::milliseconds(50);

} // namespace

void StateInstance::confirmNewest(ConfirmationCallback callback)
{
    m_nextRoundCallbacks.push_back(std::move(callback));
    if (!m_isRoundOpen)
        startConfirmationRound();
}

// One confirmation by the leader answers every request that was made before the round started.
void StateInstance::startConfirmationRound()
{
    m_isRoundOpen = true;
    m_roundCallbacks = std::exchange(m_nextRoundCallbacks, {});
    const auto id = ++m_round;
    const auto timer = std::make_shared<Timer>(m_loop.get_executor(), confirmationRoundTimeout);
    timer->async_wait([this, alive = m_isAlive, timer, id](const auto& ec) {
        if (!ec && *alive)
            endConfirmationRound(id, std::nullopt);
    });
    m_node->runAfterFlush([this, alive = m_isAlive, id, held = m_routing->version](const StateCore& core, TimePoint now) {
        const auto* routing = core.currentRouting(now);
        std::optional<Confirmation> confirmation;
        if (routing)
            confirmation = Confirmation { .version = routing->version, .newer = routing->version > held ? std::optional(*routing) : std::nullopt };
        asio::post(m_loop, [this, alive, id, confirmation, leader = core.leader(), held] {
            if (!*alive)
                return;
            if (confirmation)
                return endConfirmationRound(id, confirmation);
            if (!leader || *leader == m_mesh.self())
                return endConfirmationRound(id, std::nullopt);
            Wire::FreshnessPoll poll;
            poll.id = toSigned(id);
            poll.held = toSigned(held.value());
            Wire::LinkMessage message;
            message.__set_freshnessPoll(poll);
            m_mesh.sendToState(*leader, message);
        });
    });
}

void StateInstance::endConfirmationRound(std::uint64_t id, const std::optional<Confirmation>& confirmation)
{
    if (!m_isRoundOpen || id != m_round)
        return;
    if (confirmation)
        m_confirmedAt = monotonicNow();
    if (confirmation && confirmation->newer)
        storeRouting(*confirmation->newer);
    const auto callbacks = std::exchange(m_roundCallbacks, {});
    m_isRoundOpen = false;
    for (const auto& it : callbacks)
        it(confirmation);
    if (!m_nextRoundCallbacks.empty() && !m_isRoundOpen)
        startConfirmationRound();
}

void StateInstance::answerStatePoll(const InstanceId& from, std::uint64_t id, RoutingVersion held)
{
    m_node->runAfterFlush([this, alive = m_isAlive, from, id, held](const StateCore& core, TimePoint now) {
        Wire::FreshnessReply reply;
        reply.id = toSigned(id);
        const auto* routing = core.currentRouting(now);
        reply.confirmed = routing != nullptr;
        if (routing)
            reply.version = toSigned(routing->version.value());
        if (routing && routing->version > held)
            reply.__set_document(toWire(*routing));
        Wire::LinkMessage answer;
        answer.__set_freshnessReply(reply);
        asio::post(m_loop, [this, alive, from, answer] {
            if (*alive)
                m_mesh.sendToState(from, answer);
        });
    });
}

void StateInstance::proposeLocally(const RoutingDocument& document, CommitCallback callback)
{
    m_node->propose(document, [this, alive = m_isAlive, callback = std::move(callback)](const ProposalResult& result) {
        asio::post(m_loop, [alive, callback, kind = result.kind, leader = result.leader] {
            if (*alive)
                callback(kind, leader);
        });
    });
}

Task<bool> StateInstance::commit(const RoutingDocument& document)
{
    const auto end = monotonicNow() + operatorRequestTimeout;
    std::optional<InstanceId> leader;
    Timer pause(m_loop.get_executor());
    while (monotonicNow() < end) {
        // A version that is applied here is committed to a quorum of disks, and a lower one would change nothing.
        if (document.version <= m_routing->version)
            co_return true;
        using Reply = std::pair<ProposalResult::Kind, std::optional<InstanceId>>;
        PendingValue<Reply> reply(m_loop);
        const auto set = reply.setter();
        const auto id = ++m_lastProposal;
        if (leader && *leader != m_mesh.self()) {
            m_forwardedProposals.emplace(id, [set](auto kind, const auto& hint) { set({ kind, hint }); });
            Wire::RoutingSubmit submit;
            submit.id = toSigned(id);
            submit.document = toWire(document);
            Wire::LinkMessage message;
            message.__set_routingSubmit(submit);
            m_mesh.sendToState(*leader, message);
        } else {
            proposeLocally(document, [set](auto kind, const auto& hint) { set({ kind, hint }); });
        }
        const auto answer = co_await reply.wait(end - monotonicNow());
        m_forwardedProposals.erase(id);
        if (answer && answer->first == ProposalResult::Kind::Committed)
            co_return true;
        leader = answer ? answer->second : std::nullopt;
        if (!leader) {
            pause.expires_after(retryDelay);
            co_await pause.async_wait(asTuple);
        }
    }
    co_return document.version <= m_routing->version;
}

Task<RoutingSubmission> StateInstance::submitRouting(std::string text)
{
    RoutingSubmission submission;
    const auto decoded = m_decoder.decode(text);
    if (!decoded.isValid()) {
        logEvent(LogEvent::RoutingRejected, "version={} held={} cause=\"{}\"", decoded.configuration.version.value(), m_routing->version.value(), decoded.error);
        submission.outcome = RoutingSubmission::Outcome::Invalid;
        submission.error = decoded.error;
        co_return submission;
    }
    const auto version = decoded.configuration.version;
    const auto startedAt = monotonicNow();
    // Not a temporary: g++ 12 destroys an aggregate that is created inside a co_await expression twice.
    const RoutingDocument document { .version = version, .text = std::move(text) };
    const auto isCommitted = co_await commit(document);
    logEvent(isCommitted ? LogEvent::RoutingAcknowledged : LogEvent::RoutingUnconfirmed, "version={} held={} took_ms={}", version.value(), m_routing->version.value(), (monotonicNow() - startedAt) / std::chrono::milliseconds(1));
    submission.outcome = isCommitted ? RoutingSubmission::Outcome::Accepted : RoutingSubmission::Outcome::Unavailable;
    co_return submission;
}

Task<std::optional<RoutingDocument>> StateInstance::newestRouting()
{
    const auto end = monotonicNow() + operatorRequestTimeout;
    Timer pause(m_loop.get_executor());
    while (monotonicNow() < end) {
        PendingValue<std::optional<RoutingVersion>> newest(m_loop);
        const auto set = newest.setter();
        confirmNewest([set](const auto& confirmation) { set(confirmation ? std::optional(confirmation->version) : std::nullopt); });
        const auto version = co_await newest.wait(end - monotonicNow());
        if (version && *version && **version == m_routing->version && m_routing->version.value() > 0)
            co_return *m_routing;
        pause.expires_after(retryDelay);
        co_await pause.async_wait(asTuple);
    }
    co_return std::nullopt;
}

} // namespace HickoryHollow
