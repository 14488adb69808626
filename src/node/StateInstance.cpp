#include "node/StateInstance.h"

#include "base/LogEvent.h"
#include "links/EntryAddressCodec.h"
#include "net/Timer.h"
#include "node/ReportSource.h"
#include "node/ServerScaling.h"
#include "node/UsageCodec.h"
#include "routing/RoutingDecoder.h"
#include "wire/AdmissionCodec.h"
#include "wire/AgreementCodec.h"
#include "wire/FleetCodec.h"
#include "wire/LedgerCodec.h"
#include "wire/LimitCodec.h"
#include "wire/PromptEvidenceCodec.h"
#include "wire/Signed.h"
#include "wire/StreamOriginCodec.h"
#include "wire/ThriftCodec.h"
#include "wire/WireEnum.h"
#include "wire/gen/hickoryhollow_types.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <filesystem>

namespace HickoryHollow {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(100);
constexpr Duration nodeTickInterval = std::chrono::milliseconds(50);
constexpr Duration leaderHeartbeat = std::chrono::milliseconds(100);
constexpr Duration electionTimeout = std::chrono::milliseconds(500); // Five heartbeats: a short pause deposes no leader.
constexpr Duration usageLifetime = std::chrono::milliseconds(1500); // Three times the longest interval between reports.
constexpr int ticksPerUsageReport = 5; // For unchanged usage; changed usage is sent at each tick.
constexpr int missedAnnouncementsBeforeLapse = 5; // Announcement intervals of silence until a backend server lapses.
constexpr std::uint64_t maxJournalBytes = 16ULL << 20U; // The data disk has 128 MB and holds two generations.
// Recovery holds the journal up to four times: as read, as entries, in the log and as applied.
constexpr std::size_t memoryPerJournalByte = 16;
constexpr int ticksPerVersionCheck = 10;
constexpr int ticksPerEntryAddresses = 10;
constexpr std::size_t memoryShareOfStreams = 16;
constexpr std::size_t bytesPerStream = 64; // With the nodes of the container.
// Records of servers, which each entry instance holds as well. 12,000 servers with names of usual length take 5 MB.
constexpr std::size_t memoryShareOfRecords = 16;
// First frames of links whose senders are not known yet; 88 MB have room for 167.
constexpr std::size_t memoryShareOfGreetings = 8;
constexpr std::size_t maxPendingPrefixes = 2000; // 300 entry instances with 60 requests/s each report at most 1800 a tick.

// Of a deployment that starts for the first time, every server that has ever served will be known.
bool isNewDeployment(const NodeSettings& settings)
{
    std::error_code ec;
    return settings.isFirstStart && (!std::filesystem::exists(settings.dataFolder, ec) || std::filesystem::is_empty(settings.dataFolder, ec));
}

AcceptedLinks::Options linkLimits(const NodeSettings& settings)
{
    AcceptedLinks::Options options;
    options.maxLinks = settings.links;
    options.maxWithoutGreeting = std::min(options.maxWithoutGreeting, settings.memoryBytes / memoryShareOfGreetings / maxGreetingBytes);
    return options;
}

// Reports over the limit are dropped. The cost of a dropped report is one repeated prefill of that prefix.
void appendBounded(std::vector<CachedPrefixReport>& pending, const std::vector<CachedPrefixReport>& reports)
{
    const auto n = std::min(reports.size(), maxPendingPrefixes - std::min(maxPendingPrefixes, pending.size()));
    pending.insert(pending.end(), reports.begin(), reports.begin() + static_cast<std::ptrdiff_t>(n));
}

} // namespace

StateInstance::StateInstance(asio::io_context& loop, const NodeSettings& settings, const RoutingDecoder& decoder, const ProviderCodec& codec)
    : m_loop(loop)
    , m_settings(settings)
    , m_decoder(decoder)
    , m_isAlive(std::make_shared<bool>(true))
    , m_mesh(loop, { .listen = settings.linkListen, .bind = settings.linkBind, .instance = settings.instance.value(), .failureDomain = settings.failureDomain, .incarnation = Incarnation(static_cast<std::uint64_t>(monotonicNow().time_since_epoch().count())), .accepted = linkLimits(settings) },
          {
              .stateMessage = [this](const auto& from, const auto& message) { handleStateMessage(from, message); },
              .entryMessage = [this](auto from, const auto& message) { handleEntryMessage(from, message); },
              .entryJoined = [this](auto id, const auto& hello) {
                  sendInitialStateToEntry(id);
                  handleEntryHello(id, hello); },
              .entryLeft = [this](auto id) {
                  m_usage.remove(sourceOf(id));
                  m_limits.remove(sourceOf(id));
                  if (m_demandCollector)
                      m_demandCollector->remove(sourceOf(id));
                  m_entryAddresses.remove(sourceOf(id));
                  m_relayingEntries.erase(id);
                  m_broadcast.remove(id); },
              .stateJoined = [this](const auto& id) {
                  sendRecordsToState(id);
                  sendLimitsToState(id);
                  sendQuarantinedToState(id);
                  sendStreamsToState(id);
                  sendEntryAddressesToState(id);
                  sendStartsToState(id); },
              .stateLeft = [this](const auto& id) {
                  m_usage.remove(sourceOf(id));
                  m_limits.remove(sourceOf(id)); },
              .stateSilent = [this](const auto& id) { m_entryAddresses.lose(sourceOf(id), monotonicNow()); },
          })
    , m_directory({ .self = m_mesh.self(), .lease = settings.bounds.announceInterval * missedAnnouncementsBeforeLapse, .maxBytes = settings.announcedBytes > 0 ? settings.announcedBytes : settings.memoryBytes / memoryShareOfRecords })
    , m_streams({ .maxStreams = settings.memoryBytes / memoryShareOfStreams / bytesPerStream })
    , m_versions(isNewDeployment(settings) ? TimePoint() : monotonicNow(), StreamOrigins::Options().retention)
    , m_routing(std::make_shared<const RoutingDocument>())
    , m_duties(settings.provider ? std::make_unique<ProviderDuties>(loop, ProviderDuties::Options { .self = settings.instance, .provider = *settings.provider }, codec) : nullptr)
    , m_node(std::make_unique<StateNode>(nodeOptions(), [this, alive = m_isAlive](const AgreementMessage& message) {
        Wire::LinkMessage wire;
        wire.__set_agreement(toWire(message));
        asio::post(m_loop, [this, alive, to = message.to, wire] {
            if (*alive)
                m_mesh.sendToState(to, wire);
        });
    }))
{
    m_limits.setName(sourceOf(m_mesh.self()));
    m_directory.setServices({}, monotonicNow());
    createProviderReports();
}

void StateInstance::stop()
{
    m_node.reset();
}

StateInstance::~StateInstance()
{
    *m_isAlive = false;
}

StateNode::Options StateInstance::nodeOptions()
{
    StateNode::Options options;
    options.core.self = m_mesh.self();
    options.core.timings.heartbeatInterval = leaderHeartbeat;
    options.core.timings.electionTimeout = electionTimeout;
    options.core.maxVoters = std::size_t { 2 } * m_settings.toleratedLosses + 1;
    options.core.compactAfterBytes = std::min<std::uint64_t>(maxJournalBytes, m_settings.memoryBytes / memoryPerJournalByte);
    options.core.retainedEntries = 50;
    options.dataFolder = m_settings.dataFolder;
    options.tickInterval = nodeTickInterval;
    // The callback runs on the node's thread only, so `lastPosted` needs no lock.
    options.onFlushed = [this, alive = m_isAlive, lastPosted = RoutingVersion(0)](const StateCore& core) mutable {
        if (m_duties)
            m_duties->onFlushed(core);
        publishReplica(core);
        const auto& routing = core.state().routing();
        if (routing.version <= lastPosted)
            return;
        lastPosted = routing.version;
        asio::post(m_loop, [this, alive, routing] {
            if (*alive)
                storeRouting(routing);
        });
    };
    return options;
}

void StateInstance::start()
{
    m_mesh.setSeeds(m_settings.seeds);
    asio::co_spawn(m_loop, tickLoop(), asio::detached);
    if (m_duties)
        m_duties->start(*m_node);
}

void StateInstance::setSeeds(const std::vector<InstanceId>& seeds)
{
    m_settings.seeds = seeds;
    m_mesh.setSeeds(seeds);
}

Task<void> StateInstance::tickLoop()
{
    Timer timer(m_loop.get_executor());
    for (int tick = 0;; ++tick) {
        timer.expires_after(tickInterval);
        co_await timer.async_wait(asTuple);
        const auto now = monotonicNow();
        m_mesh.tick();
        if (auto peers = m_mesh.known(); peers != m_nodePeers) {
            m_nodePeers = peers;
            m_node->runBeforeFlush([peers](StateCore& core, TimePoint) { core.setPeers(peers); });
        }
        if (auto peers = m_mesh.reachable(); peers != m_directoryPeers) {
            m_directoryPeers = peers;
            m_directory.setPeers(peers, now);
        }
        formOnFirstStart();
        m_directory.tick(now);
        publishBackendChanges();
        m_usage.expire(usageLifetime, now);
        reportUsage(tick % ticksPerUsageReport == 0);
        publishLimits(tick % ticksPerUsageReport == 0);
        reportCachedPrefixes();
        publishPromptFindings();
        sendStreamsToStates();
        publishProviderReports();
        publishCompletions();
        m_entryAddresses.expire(now);
        if (tick % ticksPerEntryAddresses == 0)
            publishEntryAddresses();
        expireOriginLookups();
        tickScaling(now);
        if (tick % ticksPerVersionCheck == 0) {
            observeVersions();
        }
    }
}

// On the deployment's first start, exactly one instance creates the replicated state: the one with the lowest address
// among the seeds, which are the same for all instances then. It waits until it reaches enough other state instances
// for a quorum to survive the tolerated losses (2 * toleratedLosses + 1 voters).
void StateInstance::formOnFirstStart()
{
    if (m_hasFormed || !m_settings.isFirstStart)
        return;
    const auto lowest = std::min_element(m_settings.seeds.begin(), m_settings.seeds.end());
    if (*lowest != m_mesh.self() || m_mesh.reachable().size() < std::size_t { 2 } * m_settings.toleratedLosses)
        return;
    m_node->runBeforeFlush([](StateCore& core, TimePoint now) { core.form(now); });
    // On a full disk the flush fails, and the state does not exist.
    m_node->runAfterFlush([this, alive = m_isAlive](const StateCore& core, TimePoint) {
        if (!core.replica() || !core.replica()->isFormed())
            return;
        asio::post(m_loop, [this, alive] {
            if (*alive)
                m_hasFormed = true;
        });
    });
}

void StateInstance::storeRouting(RoutingDocument document)
{
    if (document.version <= m_routing->version)
        return;
    m_routing = std::make_shared<const RoutingDocument>(std::move(document));
    logEvent(LogEvent::RoutingCommitted, "version={} bytes={}", m_routing->version.value(), m_routing->text.size());
    // Before the configuration, so that the entry instances know the servers of a new service when they use it.
    if (auto services = m_decoder.decodeServices(m_routing->text)) {
        m_directory.setServices(std::move(*services), monotonicNow());
        observeVersions();
        publishBackendChanges();
    }
    m_broadcast.publish(m_routing);
    for (const auto& it : m_broadcast.dueLinks())
        sendRoutingWhenFree(it);
}

void StateInstance::sendRoutingWhenFree(EntryLinkId id)
{
    m_mesh.sendLatestToEntry(id, LinkSubject::Routing, [this, alive = m_isAlive, id] { return *alive ? m_broadcast.takeFrame(id) : nullptr; });
}

void StateInstance::sendInitialStateToEntry(EntryLinkId id)
{
    if (!m_recordsFrame) {
        const FleetUpdate update { .records = m_directory.allForReaders(), .renewals = {}, .loads = {} };
        Wire::LinkMessage message;
        message.__set_fleetNews(toWire(update));
        m_recordsFrame = makeSharedFrame(message);
    }
    m_mesh.sendFrameToEntry(id, m_recordsFrame);
    sendLimitsToEntry(id);
    const auto findings = m_crashSuspects.findings();
    if (findings.isEmpty())
        return;
    Wire::LinkMessage prompts;
    prompts.__set_promptFindings(toWire(findings));
    m_mesh.sendToEntry(id, prompts);
}

void StateInstance::reportUsage(bool evenIfUnchanged)
{
    auto local = m_usage.sum(entrySources);
    if (evenIfUnchanged || local != m_lastReportToStates) {
        Wire::LinkMessage message;
        message.__set_uses(toWire(local));
        m_mesh.sendToStates(message);
        m_lastReportToStates = std::move(local);
    }
    if (m_mesh.entryLinks() == 0)
        return;
    auto total = m_usage.sum({});
    dropFaultlessCalls(total);
    if (!evenIfUnchanged && total == m_lastReportToEntries)
        return;
    Wire::LinkMessage message;
    message.__set_uses(toWire(total));
    m_mesh.sendLatestToEntries(LinkSubject::Usage, message);
    m_lastReportToEntries = std::move(total);
}

void StateInstance::reportCachedPrefixes()
{
    const auto takeMessage = [](std::vector<CachedPrefixReport>& prefixes) {
        Wire::LinkMessage message;
        message.__set_keptPrompts(toWire(std::exchange(prefixes, {})));
        return message;
    };
    if (!m_prefixesForStates.empty())
        m_mesh.sendToStates(takeMessage(m_prefixesForStates));
    if (!m_prefixesForEntries.empty())
        m_mesh.sendToEntries(takeMessage(m_prefixesForEntries));
}

void StateInstance::publishCompletions()
{
    if (!m_completionsForStates.isEmpty()) {
        Wire::LinkMessage message;
        message.__set_admissionReport(toWire(m_completionsForStates.take()));
        m_mesh.sendToStates(message);
    }
    if (!m_completionsForEntries.isEmpty()) {
        Wire::LinkMessage message;
        message.__set_admissionTotals(toWire(m_completionsForEntries.take()));
        m_mesh.sendToEntries(message);
    }
}

void StateInstance::handleStateMessage(const InstanceId& from, const Wire::LinkMessage& message)
{
    const auto& isset = message.__isset;
    if (handleProviderReport(from, message))
        return;
    if (isset.agreement) {
        if (auto agreement = HickoryHollow::fromWire(message.agreement))
            m_node->deliver(std::move(*agreement));
    } else if (isset.fleetNews) {
        const auto update = HickoryHollow::fromWire(message.fleetNews);
        for (const auto& it : update.records) {
            m_directory.merge(it, from, monotonicNow());
            observeVersion(it);
        }
        for (const auto& it : update.renewals)
            m_directory.renew(it, monotonicNow());
        publishBackendChanges();
    } else if (isset.uses) {
        m_usage.set(sourceOf(from), HickoryHollow::fromWire(message.uses), monotonicNow());
    } else if (isset.keptPrompts) {
        appendBounded(m_prefixesForEntries, HickoryHollow::fromWire(message.keptPrompts));
    } else if (isset.promptEvidence) {
        handlePromptEvidence(HickoryHollow::fromWire(message.promptEvidence));
    } else if (isset.streamOrigins) {
        recordStreams(HickoryHollow::fromWire(message.streamOrigins), false);
    } else if (isset.entryAddresses) {
        m_entryAddresses.set(sourceOf(from), HickoryHollow::fromWire(message.entryAddresses));
    } else if (isset.streamOriginQuery) {
        const auto& query = message.streamOriginQuery;
        answerStateOriginQuery(from, toUnsigned(query.id), StreamId(toUnsigned(query.stream)), ServiceId(query.serviceName));
    } else if (isset.streamOriginReply) {
        const auto& reply = message.streamOriginReply;
        handleStateOriginReply(from, toUnsigned(reply.id), reply.__isset.version ? std::optional(VersionId(toUnsigned(reply.version))) : std::nullopt);
    } else if (isset.limitReport) {
        m_limits.reportFromState(sourceOf(from), HickoryHollow::fromWire(message.limitReport), monotonicNow());
    } else if (isset.admissionReport) {
        m_completionsForEntries.add(HickoryHollow::fromWire(message.admissionReport));
    } else if (isset.freshnessPoll) {
        answerStatePoll(from, toUnsigned(message.freshnessPoll.id), RoutingVersion(toUnsigned(message.freshnessPoll.held)));
    } else if (isset.freshnessReply) {
        const auto& reply = message.freshnessReply;
        Confirmation confirmation { .version = RoutingVersion(toUnsigned(reply.version)), .newer = std::nullopt };
        if (reply.__isset.document)
            confirmation.newer = HickoryHollow::fromWire(reply.document);
        endConfirmationRound(toUnsigned(reply.id), reply.confirmed ? std::optional(confirmation) : std::nullopt);
    } else if (isset.routingSubmit) {
        const auto id = message.routingSubmit.id;
        proposeLocally(HickoryHollow::fromWire(message.routingSubmit.document), [this, from, id](auto kind, const auto&) {
            Wire::RoutingSubmitReply reply;
            reply.id = id;
            reply.result = static_cast<std::int32_t>(kind);
            Wire::LinkMessage answer;
            answer.__set_routingSubmitReply(reply);
            m_mesh.sendToState(from, answer);
        });
    } else if (isset.routingSubmitReply) {
        const auto proposal = m_forwardedProposals.extract(toUnsigned(message.routingSubmitReply.id));
        if (!proposal.empty())
            proposal.mapped()(enumFromWire(message.routingSubmitReply.result, ProposalResult::Kind::Unknown, ProposalResult::Kind::Unknown), std::nullopt);
    }
}

void StateInstance::handleEntryMessage(EntryLinkId from, const Wire::LinkMessage& message)
{
    if (message.__isset.uses) {
        m_usage.set(sourceOf(from), HickoryHollow::fromWire(message.uses), monotonicNow());
        return;
    }
    if (message.__isset.keptPrompts) {
        const auto prefixes = HickoryHollow::fromWire(message.keptPrompts);
        appendBounded(m_prefixesForStates, prefixes);
        appendBounded(m_prefixesForEntries, prefixes);
        return;
    }
    if (message.__isset.promptEvidence) {
        handlePromptEvidence(HickoryHollow::fromWire(message.promptEvidence));
        m_mesh.sendToStates(message);
        return;
    }
    if (message.__isset.limitReport) {
        handleLimitReport(from, HickoryHollow::fromWire(message.limitReport));
        return;
    }
    if (message.__isset.admissionReport) {
        const auto completions = HickoryHollow::fromWire(message.admissionReport);
        m_completionsForStates.add(completions);
        m_completionsForEntries.add(completions);
        return;
    }
    if (message.__isset.streamOrigins) {
        recordStreams(HickoryHollow::fromWire(message.streamOrigins), true);
        return;
    }
    if (message.__isset.streamOriginQuery) {
        const auto& query = message.streamOriginQuery;
        answerOriginQuery(from, toUnsigned(query.id), StreamId(toUnsigned(query.stream)), ServiceId(query.serviceName));
        return;
    }
    if (handleProviderReport(from, message) || !message.__isset.freshnessPoll)
        return;
    const auto poll = message.freshnessPoll;
    const RoutingVersion held(toUnsigned(poll.held));
    // An entry instance of an earlier version of the program ignores differences, and does not set the field.
    m_broadcast.setHeld(from, held, poll.__isset.needsWhole ? poll.needsWhole : held < m_routing->version);
    if (m_broadcast.isDue(from))
        sendRoutingWhenFree(from);
    confirmNewest([this, from, poll](const std::optional<Confirmation>& confirmation) {
        Wire::FreshnessReply reply;
        reply.id = poll.id;
        reply.confirmed = confirmation.has_value();
        reply.version = toSigned((confirmation ? confirmation->version : m_routing->version).value());
        reply.entryInstances = static_cast<std::int32_t>(m_usage.sum({}).entryInstances);
        reply.states = m_mesh.advertisedAddresses();
        if (const auto time = m_usageCollector ? m_usageCollector->trueTime(monotonicNow()) : std::nullopt)
            reply.__set_trueTimeMs(time->count());
        Wire::LinkMessage answer;
        answer.__set_freshnessReply(reply);
        m_mesh.sendToEntry(from, answer);
    });
}

} // namespace HickoryHollow
