#include "cluster/Cluster.h"

#include "base/LogEvent.h"
#include "entry/Dispatcher.h"
#include "entry/FleetView.h"
#include "net/Timer.h"
#include "peer/PeerMesh.h"
#include "state/StateNode.h"
#include "wire/FleetCodec.h"
#include "wire/PromptEvidenceCodec.h"
#include "wire/Signed.h"
#include "wire/gen/hickoryhollow_types.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>

namespace HickoryHollow {

namespace {

constexpr std::chrono::milliseconds settingsPollInterval { 400 };
// Bounds how long an instance serves under outdated settings: after this time it has the change or takes no new work.
constexpr Duration settingsLeaseDuration = std::chrono::seconds(2);
constexpr std::chrono::milliseconds fleetUpdateInterval { 100 };
// Interval of local load reports while a job waits for a slot on any instance.
constexpr std::chrono::milliseconds backlogReportInterval { 25 };
constexpr int turnsPerFleetUpdate = fleetUpdateInterval / backlogReportInterval;
constexpr Duration localLoadRefreshInterval = std::chrono::milliseconds(500); // Peers discard a load after one second.
constexpr int fleetUpdatesPerLoadReport = 2; // Loads of backend servers are in every second fleet update.
constexpr Duration abandonTimeout = std::chrono::minutes(30);

std::vector<InstanceId> stateInstancesOf(const DaemonSettings& settings)
{
    std::vector<InstanceId> instances;
    if (settings.keepsState())
        instances.push_back(settings.instance);
    for (const auto& it : settings.peers) {
        if (it.keepsState)
            instances.push_back(it.instance);
    }
    return instances;
}

StateNode::Options nodeOptions(const DaemonSettings& settings)
{
    StateNode::Options options { .core = { .self = settings.instance }, .dataFolder = settings.dataFolder };
    for (const auto& it : settings.peers) {
        if (it.keepsState)
            options.core.peers.insert(it.instance);
    }
    return options;
}

Wire::Reply notLeaderReply(std::int64_t id, const std::optional<InstanceId>& leader)
{
    Wire::Reply reply;
    reply.id = id;
    Wire::NotLeader redirect;
    if (leader)
        redirect.__set_leader(leader->value());
    reply.__set_notLeader(redirect);
    return reply;
}

Wire::Reply proposeReply(std::int64_t id, const ProposalResult& result)
{
    if (result.kind == ProposalResult::Kind::NotLeader)
        return notLeaderReply(id, result.leader);
    Wire::Reply reply;
    reply.id = id;
    Wire::ProposeReply proposed;
    if (result.kind == ProposalResult::Kind::Committed)
        proposed.__set_outcome(toWire(result.outcome));
    reply.__set_propose(proposed);
    return reply;
}

Wire::Reply pollReply(std::int64_t id, SettingsVersion knownVersion, const SharedState::Settings& settings)
{
    Wire::Reply reply;
    reply.id = id;
    Wire::SettingsPollReply answer;
    answer.version = toSigned(settings.version.value());
    if (settings.version != knownVersion)
        answer.__set_settings(toWire(settings));
    reply.__set_poll(answer);
    return reply;
}

} // namespace

Cluster::Cluster(Options options)
    : m_options(std::move(options))
    , m_client(m_options.loop, { .stateInstances = stateInstancesOf(m_options.settings) }, [this](const InstanceId& to, const Wire::Request& request) { sendRequest(to, request); })
    , m_ledger(m_options.loop, m_client, m_options.settings.instance, m_options.incarnation)
    , m_settingsStore(m_options.loop, m_client)
{
    const auto& settings = m_options.settings;
    if (settings.keepsState()) {
        m_node = std::make_unique<StateNode>(nodeOptions(settings), [this](const AgreementMessage& message) {
            Wire::PeerMessage wire;
            wire.__set_agreement(toWire(message));
            if (m_mesh)
                m_mesh->send(message.to, wire);
        });
    }
    if (settings.peers.empty())
        return;
    const PeerMesh::Options meshOptions { .self = settings.instance, .incarnation = m_options.incarnation, .listen = settings.peerListen, .key = settings.peerKey, .peers = settings.peers };
    m_mesh = std::make_unique<PeerMesh>(m_options.loop, meshOptions, [this](const InstanceId& from, const Wire::PeerMessage& message) { handleMessage(from, message); });
    m_mesh->onConnected([this](const InstanceId& peer) { sendAllRecords(peer); });
}

Cluster::~Cluster()
{
    stop();
}

void Cluster::stop()
{
    // The node's thread sends through the mesh, so the node must be destroyed first.
    m_node.reset();
}

void Cluster::start()
{
    asio::co_spawn(m_options.loop, settingsLoop(), asio::detached);
    asio::co_spawn(m_options.loop, fleetLoop(), asio::detached);
    // Claims of earlier incarnations of this instance may have run, and nobody will complete them.
    asio::co_spawn(m_options.loop, m_client.propose(AbandonOwner { .instance = m_options.settings.instance, .before = m_options.incarnation }, abandonTimeout), asio::detached);
}

void Cluster::handleMessage(const InstanceId& from, const Wire::PeerMessage& message)
{
    if (message.__isset.agreement && m_node) {
        auto agreement = fromWire(message.agreement);
        if (agreement && agreement->from.instance == from)
            m_node->deliver(std::move(*agreement));
    } else if (message.__isset.request) {
        serveRequest(message.request, [this, from](const Wire::Reply& reply) {
            Wire::PeerMessage answer;
            answer.__set_reply(reply);
            m_mesh->send(from, answer);
        });
    } else if (message.__isset.reply) {
        m_client.deliver(message.reply);
    } else if (message.__isset.fleetNews) {
        const auto update = fromWire(message.fleetNews);
        m_options.fleet.merge(update.records, from);
        m_options.fleet.renew(update.renewals);
        m_options.fleet.applyLoadNotices(update.loads);
    } else if (message.__isset.peerLoad) {
        std::vector<BackendId> knownBackends;
        for (const auto& it : m_options.fleet.all())
            knownBackends.push_back(it.id);
        m_options.dispatcher.setPeerLoad(from, fromWire(message.peerLoad, knownBackends));
    } else if (message.__isset.promptEvidence) {
        m_options.dispatcher.receivePromptEvidence(fromWire(message.promptEvidence));
    }
}

void Cluster::sendRequest(const InstanceId& to, const Wire::Request& request)
{
    if (to != m_options.settings.instance) {
        Wire::PeerMessage message;
        message.__set_request(request);
        if (m_mesh)
            m_mesh->send(to, message);
        return;
    }
    serveRequest(request, [this](const Wire::Reply& reply) {
        asio::post(m_options.loop, [this, reply] { m_client.deliver(reply); });
    });
}

void Cluster::serveRequest(const Wire::Request& request, const Respond& respond)
{
    const auto id = request.id;
    if (!m_node) {
        respond(notLeaderReply(id, std::nullopt));
        return;
    }
    if (request.__isset.propose) {
        auto body = fromWire(request.propose.body);
        if (body)
            m_node->propose(std::move(*body), [id, respond](const ProposalResult& result) { respond(proposeReply(id, result)); });
    } else if (request.__isset.poll) {
        const SettingsVersion knownVersion(toUnsigned(request.poll.known));
        m_node->pollSettings(knownVersion, [id, knownVersion, respond](const std::optional<SharedState::Settings>& settings, const std::optional<InstanceId>& leader) {
            respond(settings ? pollReply(id, knownVersion, *settings) : notLeaderReply(id, leader));
        });
    }
}

Task<void> Cluster::settingsLoop()
{
    Timer timer(m_options.loop.get_executor());
    for (;;) {
        co_await refreshSettings();
        const auto hasLease = m_options.activeSettings.isLeaseValid(monotonicNow());
        if (std::exchange(m_hadLease, hasLease) != hasLease)
            logEvent(hasLease ? LogEvent::SettingsLeaseGained : LogEvent::SettingsLeaseLost, "instance={}", m_options.settings.instance.value());
        timer.expires_after(settingsPollInterval);
        co_await timer.async_wait(asTuple);
    }
}

// The reply is valid for some time between the request and its arrival, so the lease starts at the time of the request.
Task<void> Cluster::refreshSettings()
{
    const auto requestedAt = monotonicNow();
    const auto latest = m_options.activeSettings.latest();
    const auto knownVersion = latest ? latest->version : SettingsVersion(0);
    const auto settings = co_await m_client.pollSettings(knownVersion);
    if (!settings || settings->version.value() == 0)
        co_return;
    if (settings->version > knownVersion) {
        Diagnostics diagnostics;
        const SettingsText text { .inventory = settings->inventory, .rules = settings->rules };
        auto routing = parseRoutingSettings(text, settings->version, diagnostics);
        if (!routing) {
            logEvent(LogEvent::SettingsInvalid, "version={} {}", settings->version.value(), toString(diagnostics));
            co_return;
        }
        m_options.applySettings(std::move(routing));
    }
    if (m_options.activeSettings.latest()->version == settings->version)
        m_options.activeSettings.extendLease(requestedAt + settingsLeaseDuration);
}

Task<void> Cluster::fleetLoop()
{
    Timer timer(m_options.loop.get_executor());
    for (int turn = 0;; ++turn) {
        timer.expires_after(backlogReportInterval);
        co_await timer.async_wait(asTuple);
        const auto isFleetUpdateDue = turn % turnsPerFleetUpdate == 0;
        if (isFleetUpdateDue && m_mesh)
            m_options.fleet.setPeers(m_mesh->reachable());
        if (isFleetUpdateDue)
            sendFleetUpdate(turn % (turnsPerFleetUpdate * fleetUpdatesPerLoadReport) == 0);
        if (isFleetUpdateDue)
            broadcastPromptEvidence();
        if (isFleetUpdateDue || m_options.dispatcher.hasBacklog())
            broadcastLocalLoad();
    }
}

void Cluster::sendFleetUpdate(bool withLoads)
{
    FleetUpdate update { .records = m_options.fleet.takeTransitions(), .renewals = {}, .loads = {} };
    if (withLoads)
        update.loads = m_options.fleet.takeLoadNotices();
    const auto renewals = m_options.fleet.takeRenewals();
    if (!m_mesh)
        return;
    if (!update.isEmpty()) {
        Wire::PeerMessage message;
        message.__set_fleetNews(toWire(update));
        broadcast(message);
    }
    std::map<InstanceId, FleetUpdate> updatesByOwner;
    for (const auto& it : renewals)
        updatesByOwner[m_options.fleet.ownerOf(it.id)].renewals.push_back(it);
    for (const auto& [owner, ownerUpdate] : updatesByOwner) {
        Wire::PeerMessage message;
        message.__set_fleetNews(toWire(ownerUpdate));
        m_mesh->send(owner, message);
    }
}

// The load is sent when it has changed, while a job waits, and often enough that the peers do not discard it as outdated.
void Cluster::broadcastLocalLoad()
{
    if (!m_mesh)
        return;
    auto load = m_options.dispatcher.ownLoad();
    const auto now = monotonicNow();
    const auto isWaiting = !load.waiting.empty();
    if (load == m_lastSentLoad && !isWaiting && now - m_lastSentLoadAt < localLoadRefreshInterval)
        return;
    Wire::PeerMessage message;
    message.__set_peerLoad(toWire(load));
    broadcast(message);
    m_lastSentLoad = std::move(load);
    m_lastSentLoadAt = now;
}

void Cluster::broadcastPromptEvidence()
{
    const auto evidence = m_options.dispatcher.takePromptEvidence();
    if (evidence.isEmpty() || !m_mesh)
        return;
    Wire::PeerMessage message;
    message.__set_promptEvidence(toWire(evidence));
    broadcast(message);
}

// A new connection may follow a partition, so each side sends every record and every quarantine that it has.
void Cluster::sendAllRecords(const InstanceId& peer)
{
    const auto quarantined = m_options.dispatcher.quarantinedParts();
    if (!quarantined.isEmpty()) {
        Wire::PeerMessage message;
        message.__set_promptEvidence(toWire(quarantined));
        m_mesh->send(peer, message);
    }
    const FleetUpdate update { .records = m_options.fleet.all(), .renewals = {}, .loads = {} };
    if (update.isEmpty())
        return;
    Wire::PeerMessage message;
    message.__set_fleetNews(toWire(update));
    m_mesh->send(peer, message);
}

void Cluster::broadcast(const Wire::PeerMessage& message)
{
    for (const auto& it : m_options.settings.peers)
        m_mesh->send(it.instance, message);
}

std::string Cluster::formState()
{
    return m_node ? m_node->form() : "this instance keeps no replicated state; send the request to an instance with a data folder";
}

boost::json::value Cluster::dump() const
{
    boost::json::object body { { "bytes_sent", m_mesh ? m_mesh->bytesSent() : 0 } };
    if (m_node)
        body["state"] = m_node->dump();
    return body;
}

} // namespace HickoryHollow
