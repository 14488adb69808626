#include "node/StateInstance.h"

#include "base/LogEvent.h"
#include "net/Timer.h"
#include "node/UseCodec.h"
#include "wire/AgreementCodec.h"
#include "wire/FleetCodec.h"
#include "wire/LedgerCodec.h"
#include "wire/Signed.h"
#include "wire/ThriftCodec.h"
#include "wire/gen/hickoryhollow_types.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace HickoryHollow {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(100);
constexpr Duration nodeTickInterval = std::chrono::milliseconds(50);
constexpr Duration heartbeat = std::chrono::milliseconds(100); // Of the leader.
constexpr Duration electionTimeout = std::chrono::milliseconds(500); // Five beats, so that a short pause deposes nobody.
constexpr Duration useLifetime = std::chrono::milliseconds(1500); // Three times the interval of the slowest report.
constexpr int ticksPerUseReport = 5; // Told at least so often; each tick where something changed.
constexpr int missedAnnouncements = 5; // A backend server that was silent for so many intervals has lapsed.
constexpr std::uint64_t journalBytesBeforeCompaction = 16ULL << 20U; // Of a disk of 128 MB that holds two generations.

constexpr std::size_t maxKeptPrompts = 2000; // A tick; 300 instances that begin 60 requests a second tell of fewer.

const std::string entrySource = "entry-";
const std::string stateSource = "state-";

std::string sourceOf(EntryLinkId id)
{
    return entrySource + std::to_string(id.value());
}

// What is over the limit is lost; the prompt is read once more than it need be.
void append(std::vector<KeptPromptNews>& all, const std::vector<KeptPromptNews>& news)
{
    const auto n = std::min(news.size(), maxKeptPrompts - std::min(maxKeptPrompts, all.size()));
    all.insert(all.end(), news.begin(), news.begin() + static_cast<std::ptrdiff_t>(n));
}

} // namespace

StateInstance::StateInstance(asio::io_context& loop, const NodeSettings& settings, const RoutingDecoder& decoder)
    : m_loop(loop)
    , m_settings(settings)
    , m_decoder(decoder)
    , m_isAlive(std::make_shared<bool>(true))
    , m_mesh(loop, { .listen = settings.linkListen, .bind = settings.linkBind, .instance = settings.instance.value(), .failureDomain = settings.failureDomain, .incarnation = Incarnation(static_cast<std::uint64_t>(monotonicNow().time_since_epoch().count())) },
          {
              .stateMessage = [this](const auto& from, const auto& message) { takeFromState(from, message); },
              .entryMessage = [this](auto from, const auto& message) { takeFromEntry(from, message); },
              .entryJoined = [this](auto id) { greetEntry(id); },
              .entryLeft = [this](auto id) { m_uses.remove(sourceOf(id)); },
              .stateJoined = [this](const auto& id) { greetState(id); },
              .stateLeft = [this](const auto& id) { m_uses.remove(stateSource + id.value()); },
          })
    , m_directory({ .self = m_mesh.self(), .lease = settings.bounds.announceInterval * missedAnnouncements })
    , m_routing(std::make_shared<const RoutingDocument>())
    , m_node(std::make_unique<StateNode>(nodeOptions(), [this, alive = m_isAlive](const AgreementMessage& message) {
        Wire::LinkMessage wire;
        wire.__set_agreement(toWire(message));
        asio::post(m_loop, [this, alive, to = message.to, wire] {
            if (*alive)
                m_mesh.sendToState(to, wire);
        });
    }))
{
}

StateInstance::~StateInstance()
{
    *m_isAlive = false;
}

StateNode::Options StateInstance::nodeOptions()
{
    StateNode::Options options;
    options.core.self = m_mesh.self();
    options.core.timings.heartbeat = heartbeat;
    options.core.timings.electionTimeout = electionTimeout;
    options.core.voters = std::size_t { 2 } * m_settings.bearableLosses + 1;
    options.core.compactAfterBytes = journalBytesBeforeCompaction;
    options.core.keptEntries = 50;
    options.dataFolder = m_settings.dataFolder;
    options.tickInterval = nodeTickInterval;
    // Runs on the node's thread, so `told` is the thread's own.
    options.onFlushed = [this, alive = m_isAlive, told = RoutingVersion(0)](const StateCore& core) mutable {
        const auto& routing = core.state().routing();
        if (routing.version <= told)
            return;
        told = routing.version;
        asio::post(m_loop, [this, alive, routing] {
            if (*alive)
                takeRouting(routing);
        });
    };
    return options;
}

void StateInstance::start()
{
    m_mesh.setSeeds(m_settings.seeds);
    asio::co_spawn(m_loop, tickLoop(), asio::detached);
}

void StateInstance::setSeeds(const std::vector<InstanceId>& seeds)
{
    m_settings.seeds = seeds;
    m_mesh.setSeeds(seeds);
}

Task<void> StateInstance::tickLoop()
{
    Timer timer(m_loop.get_executor());
    for (int turn = 0;; ++turn) {
        timer.expires_after(tickInterval);
        co_await timer.async_wait(asTuple);
        const auto now = monotonicNow();
        m_mesh.tick();
        if (auto peers = m_mesh.known(); peers != m_peersOfNode) {
            m_peersOfNode = peers;
            m_node->change([peers](StateCore& core, TimePoint) { core.setPeers(peers); });
        }
        if (auto peers = m_mesh.reachable(); peers != m_peersOfDirectory) {
            m_peersOfDirectory = peers;
            m_directory.setPeers(peers, now);
        }
        formIfFirst();
        m_directory.tick(now);
        tellNews();
        m_uses.expire(useLifetime, now);
        tellUses(turn % ticksPerUseReport == 0);
        tellKeptPrompts();
    }
}

// Only one instance of the deployment forms the state: the one with the least address among the seeds of the first
// start, which are the same everywhere. It waits for as many disks as the bearable losses need.
void StateInstance::formIfFirst()
{
    if (m_hasFormed || !m_settings.isFirstStart)
        return;
    const auto first = std::min_element(m_settings.seeds.begin(), m_settings.seeds.end());
    if (*first != m_mesh.self() || m_mesh.reachable().size() < std::size_t { 2 } * m_settings.bearableLosses)
        return;
    m_node->change([this, alive = m_isAlive](StateCore& core, TimePoint now) {
        const auto* replica = core.replica();
        const auto isDone = replica && replica->isFormed();
        if (!isDone && !core.form(now).empty())
            return;
        asio::post(m_loop, [this, alive] {
            if (*alive)
                m_hasFormed = true;
        });
    });
}

void StateInstance::takeRouting(RoutingDocument document)
{
    if (document.version <= m_routing->version)
        return;
    m_routing = std::make_shared<const RoutingDocument>(std::move(document));
    logEvent(LogEvent::RoutingCommitted, "version={} bytes={}", m_routing->version.value(), m_routing->text.size());
    m_mesh.sendToEntries(routingMessage());
}

Wire::LinkMessage StateInstance::routingMessage() const
{
    Wire::LinkMessage message;
    message.__set_routing(toWire(*m_routing));
    return message;
}

void StateInstance::greetEntry(EntryLinkId id)
{
    if (m_routing->version.value() > 0)
        m_mesh.sendToEntry(id, routingMessage());
    const FleetUpdate news { .records = m_directory.all(), .renewals = {}, .loads = {} };
    Wire::LinkMessage message;
    message.__set_fleetNews(toWire(news));
    m_mesh.sendToEntry(id, message);
}

void StateInstance::greetState(const InstanceId& id)
{
    const FleetUpdate news { .records = m_directory.all(), .renewals = {}, .loads = {} };
    Wire::LinkMessage message;
    message.__set_fleetNews(toWire(news));
    m_mesh.sendToState(id, message);
}

void StateInstance::tellNews()
{
    const FleetUpdate news { .records = m_directory.takeTransitions(), .renewals = m_directory.takeRenewals(), .loads = {} };
    if (!news.isEmpty()) {
        Wire::LinkMessage message;
        message.__set_fleetNews(toWire(news));
        m_mesh.sendToStates(message);
    }
    const FleetUpdate changes { .records = m_directory.takeChanges(), .renewals = {}, .loads = {} };
    if (changes.isEmpty())
        return;
    for (const auto& it : changes.records)
        logEvent(LogEvent::BackendChanged, "backend={} server={} service={} state={} incarnation={} sequence={}", it.id.value(), it.serverName, it.service.value(), toString(it.state), it.incarnation.value(), it.sequence);
    Wire::LinkMessage message;
    message.__set_fleetNews(toWire(changes));
    m_mesh.sendToEntries(message);
}

void StateInstance::tellUses(bool always)
{
    auto own = m_uses.sum(entrySource);
    if (always || own != m_toldToStates) {
        Wire::LinkMessage message;
        message.__set_uses(toWire(own));
        m_mesh.sendToStates(message);
        m_toldToStates = std::move(own);
    }
    if (m_mesh.entryLinks() == 0)
        return;
    auto total = m_uses.sum({});
    if (!always && total == m_toldToEntries)
        return;
    Wire::LinkMessage message;
    message.__set_uses(toWire(total));
    m_mesh.sendToEntries(message);
    m_toldToEntries = std::move(total);
}

void StateInstance::tellKeptPrompts()
{
    const auto take = [](std::vector<KeptPromptNews>& prompts) {
        Wire::LinkMessage message;
        message.__set_keptPrompts(toWire(std::exchange(prompts, {})));
        return message;
    };
    if (!m_keptForStates.empty())
        m_mesh.sendToStates(take(m_keptForStates));
    if (!m_keptForEntries.empty())
        m_mesh.sendToEntries(take(m_keptForEntries));
}

bool StateInstance::announce(const BackendRecord& record)
{
    const auto outcome = m_directory.announce(record, monotonicNow());
    if (record.state != BackendState::Serving)
        tellNews();
    return outcome == BackendDirectory::Outcome::Accepted;
}

bool StateInstance::retire(const std::string& serverName, std::optional<Incarnation> incarnation)
{
    auto record = m_directory.findByName(serverName);
    if (!record || (incarnation && *incarnation < record->incarnation))
        return false;
    record->incarnation = incarnation.value_or(record->incarnation);
    record->state = BackendState::Leaving;
    ++record->sequence;
    announce(*record);
    return true;
}

void StateInstance::takeFromState(const InstanceId& from, const Wire::LinkMessage& message)
{
    const auto& isset = message.__isset;
    if (isset.agreement) {
        if (auto agreement = HickoryHollow::fromWire(message.agreement))
            m_node->deliver(std::move(*agreement));
    } else if (isset.fleetNews) {
        const auto news = HickoryHollow::fromWire(message.fleetNews);
        for (const auto& it : news.records)
            m_directory.merge(it, from, monotonicNow());
        for (const auto& it : news.renewals)
            m_directory.renew(it, monotonicNow());
        tellNews();
    } else if (isset.uses) {
        m_uses.set(stateSource + from.value(), HickoryHollow::fromWire(message.uses), monotonicNow());
    } else if (isset.keptPrompts) {
        append(m_keptForEntries, HickoryHollow::fromWire(message.keptPrompts));
    } else if (isset.freshnessPoll) {
        answerPoll(from, toUnsigned(message.freshnessPoll.id), RoutingVersion(toUnsigned(message.freshnessPoll.held)));
    } else if (isset.freshnessReply) {
        const auto& reply = message.freshnessReply;
        Confirmation confirmation { .version = RoutingVersion(toUnsigned(reply.version)), .newer = std::nullopt };
        if (reply.__isset.document)
            confirmation.newer = HickoryHollow::fromWire(reply.document);
        endRound(toUnsigned(reply.id), reply.confirmed ? std::optional(confirmation) : std::nullopt);
    } else if (isset.routingSubmit) {
        const auto id = message.routingSubmit.id;
        proposeHere(HickoryHollow::fromWire(message.routingSubmit.document), [this, from, id](auto kind, const auto&) {
            Wire::RoutingSubmitReply reply;
            reply.id = id;
            reply.result = static_cast<std::int32_t>(kind);
            Wire::LinkMessage answer;
            answer.__set_routingSubmitReply(reply);
            m_mesh.sendToState(from, answer);
        });
    } else if (isset.routingSubmitReply) {
        const auto submit = m_submits.extract(toUnsigned(message.routingSubmitReply.id));
        if (!submit.empty())
            submit.mapped()(static_cast<ProposalResult::Kind>(message.routingSubmitReply.result), std::nullopt);
    }
}

void StateInstance::takeFromEntry(EntryLinkId from, const Wire::LinkMessage& message)
{
    if (message.__isset.uses) {
        m_uses.set(sourceOf(from), HickoryHollow::fromWire(message.uses), monotonicNow());
        return;
    }
    if (message.__isset.keptPrompts) {
        const auto prompts = HickoryHollow::fromWire(message.keptPrompts);
        append(m_keptForStates, prompts);
        append(m_keptForEntries, prompts);
        return;
    }
    if (!message.__isset.freshnessPoll)
        return;
    const auto poll = message.freshnessPoll;
    confirmNewest([this, from, poll](const std::optional<Confirmation>& confirmation) {
        Wire::FreshnessReply reply;
        reply.id = poll.id;
        reply.confirmed = confirmation.has_value();
        reply.version = toSigned((confirmation ? confirmation->version : m_routing->version).value());
        reply.entryInstances = static_cast<std::int32_t>(m_uses.sum({}).entryInstances);
        reply.states = m_mesh.addresses();
        if (m_routing->version.value() > toUnsigned(poll.held))
            reply.__set_document(toWire(*m_routing));
        Wire::LinkMessage answer;
        answer.__set_freshnessReply(reply);
        m_mesh.sendToEntry(from, answer);
    });
}

} // namespace HickoryHollow
