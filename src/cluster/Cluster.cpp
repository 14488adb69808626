#include "cluster/Cluster.h"

#include "base/LogEvent.h"
#include "entry/Dispatcher.h"
#include "entry/FleetView.h"
#include "net/Timer.h"
#include "peer/PeerMesh.h"
#include "state/StateNode.h"
#include "wire/FleetCodec.h"
#include "wire/Signed.h"
#include "wire/gen/hickoryhollow_types.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>

namespace HickoryHollow {

namespace {

constexpr std::chrono::milliseconds pollInterval { 400 };
constexpr Duration settingsLease = std::chrono::seconds(2); // A change is in force everywhere, or an instance is out, after this.
constexpr std::chrono::milliseconds newsInterval { 100 };
constexpr std::chrono::milliseconds pressedInterval { 25 }; // While a job waits for a slot here or elsewhere.
constexpr int turnsPerNews = newsInterval / pressedInterval;
constexpr Duration ownLoadRefresh = std::chrono::milliseconds(500); // Within the second for which it counts.
constexpr int loadsEvery = 2; // News intervals.
constexpr Duration abandonPatience = std::chrono::minutes(30);

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

Wire::Reply notLeader(std::int64_t id, const std::optional<InstanceId>& leader)
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
        return notLeader(id, result.leader);
    Wire::Reply reply;
    reply.id = id;
    Wire::ProposeReply proposed;
    if (result.kind == ProposalResult::Kind::Committed)
        proposed.__set_outcome(toWire(result.outcome));
    reply.__set_propose(proposed);
    return reply;
}

Wire::Reply pollReply(std::int64_t id, SettingsVersion known, const SharedState::Settings& settings)
{
    Wire::Reply reply;
    reply.id = id;
    Wire::SettingsPollReply answer;
    answer.version = toSigned(settings.version.value());
    if (settings.version != known)
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
    m_mesh = std::make_unique<PeerMesh>(m_options.loop, meshOptions, [this](const InstanceId& from, const Wire::PeerMessage& message) { takeMessage(from, message); });
    m_mesh->onConnected([this](const InstanceId& peer) { greet(peer); });
}

Cluster::~Cluster()
{
    // The node's thread sends through the mesh, so it ends first.
    m_node.reset();
}

void Cluster::start()
{
    asio::co_spawn(m_options.loop, settingsLoop(), asio::detached);
    asio::co_spawn(m_options.loop, fleetLoop(), asio::detached);
    // Claims of this instance's earlier life may have run; nobody will finish them.
    asio::co_spawn(m_options.loop, m_client.propose(AbandonOwner { .instance = m_options.settings.instance, .before = m_options.incarnation }, abandonPatience), asio::detached);
}

void Cluster::takeMessage(const InstanceId& from, const Wire::PeerMessage& message)
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
        const auto news = fromWire(message.fleetNews);
        m_options.fleet.merge(news.records, from);
        m_options.fleet.renew(news.renewals);
        m_options.fleet.takeLoads(news.loads);
    } else if (message.__isset.peerLoad) {
        std::vector<BackendId> known;
        for (const auto& it : m_options.fleet.all())
            known.push_back(it.id);
        m_options.dispatcher.setPeerLoad(from, fromWire(message.peerLoad, known));
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
        respond(notLeader(id, std::nullopt));
        return;
    }
    if (request.__isset.propose) {
        auto body = fromWire(request.propose.body);
        if (body)
            m_node->propose(std::move(*body), [id, respond](const ProposalResult& result) { respond(proposeReply(id, result)); });
    } else if (request.__isset.poll) {
        const SettingsVersion known(toUnsigned(request.poll.known));
        m_node->poll(known, [id, known, respond](const std::optional<SharedState::Settings>& settings, const std::optional<InstanceId>& leader) {
            respond(settings ? pollReply(id, known, *settings) : notLeader(id, leader));
        });
    }
}

Task<void> Cluster::settingsLoop()
{
    Timer timer(m_options.loop.get_executor());
    for (;;) {
        co_await followSettings();
        const auto hasLease = m_options.inForce.isLeaseValid(monotonicNow());
        if (std::exchange(m_hadLease, hasLease) != hasLease)
            logEvent(hasLease ? LogEvent::SettingsLeaseGained : LogEvent::SettingsLeaseLost, "instance={}", m_options.settings.instance.value());
        timer.expires_after(pollInterval);
        co_await timer.async_wait(asTuple);
    }
}

// The answer holds for some time after the question, so the lease counts from the question.
Task<void> Cluster::followSettings()
{
    const auto askedAt = monotonicNow();
    const auto latest = m_options.inForce.latest();
    const auto known = latest ? latest->version : SettingsVersion(0);
    const auto settings = co_await m_client.poll(known);
    if (!settings || settings->version.value() == 0)
        co_return;
    if (settings->version > known) {
        Diagnostics complaints;
        const SettingsText text { .inventory = settings->inventory, .rules = settings->rules };
        auto routing = parseRoutingSettings(text, settings->version, complaints);
        if (!routing) {
            logEvent(LogEvent::SettingsInvalid, "version={} {}", settings->version.value(), toString(complaints));
            co_return;
        }
        m_options.applySettings(std::move(routing));
    }
    if (m_options.inForce.latest()->version == settings->version)
        m_options.inForce.extendLease(askedAt + settingsLease);
}

Task<void> Cluster::fleetLoop()
{
    Timer timer(m_options.loop.get_executor());
    for (int turn = 0;; ++turn) {
        timer.expires_after(pressedInterval);
        co_await timer.async_wait(asTuple);
        const auto isNewsTurn = turn % turnsPerNews == 0;
        if (isNewsTurn && m_mesh)
            m_options.fleet.setPeers(m_mesh->reachable());
        if (isNewsTurn)
            tellNews(turn % (turnsPerNews * loadsEvery) == 0);
        if (isNewsTurn || m_options.dispatcher.isPressed())
            tellOwnLoad();
    }
}

void Cluster::tellNews(bool withLoads)
{
    FleetNews news { .records = m_options.fleet.takeTransitions(), .renewals = {}, .loads = {} };
    if (withLoads)
        news.loads = m_options.fleet.takeLoadNotices();
    const auto renewals = m_options.fleet.takeRenewals();
    if (!m_mesh)
        return;
    if (!news.isEmpty()) {
        Wire::PeerMessage message;
        message.__set_fleetNews(toWire(news));
        broadcast(message);
    }
    std::map<InstanceId, FleetNews> byHome;
    for (const auto& it : renewals)
        byHome[m_options.fleet.homeOf(it.id)].renewals.push_back(it);
    for (const auto& [home, toHome] : byHome) {
        Wire::PeerMessage message;
        message.__set_fleetNews(toWire(toHome));
        m_mesh->send(home, message);
    }
}

// Told when it changes, and now and then so that it does not lapse.
void Cluster::tellOwnLoad()
{
    if (!m_mesh)
        return;
    auto load = m_options.dispatcher.ownLoad();
    const auto now = monotonicNow();
    const auto isWaiting = !load.waiting.empty();
    if (load == m_toldLoad && !isWaiting && now - m_toldLoadAt < ownLoadRefresh)
        return;
    Wire::PeerMessage message;
    message.__set_peerLoad(toWire(load));
    broadcast(message);
    m_toldLoad = std::move(load);
    m_toldLoadAt = now;
}

// After a partition each side hears all that the other knows.
void Cluster::greet(const InstanceId& peer)
{
    const FleetNews news { .records = m_options.fleet.all(), .renewals = {}, .loads = {} };
    if (news.isEmpty())
        return;
    Wire::PeerMessage message;
    message.__set_fleetNews(toWire(news));
    m_mesh->send(peer, message);
}

void Cluster::broadcast(const Wire::PeerMessage& message)
{
    for (const auto& it : m_options.settings.peers)
        m_mesh->send(it.instance, message);
}

std::string Cluster::formState()
{
    return m_node ? m_node->form() : "this instance keeps no state; ask one with a data folder";
}

boost::json::value Cluster::dump() const
{
    boost::json::object body { { "bytes_sent", m_mesh ? m_mesh->bytesSent() : 0 } };
    if (m_node)
        body["state"] = m_node->dump();
    return body;
}

} // namespace HickoryHollow
