#include "node/ServerScaling.h"

#include "base/LogEvent.h"
#include "routing/RoutingDecoder.h"
#include "scaling/ServerPlan.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <unordered_map>

namespace HickoryHollow {

namespace {

constexpr Duration decisionInterval = std::chrono::milliseconds(500);
constexpr Duration usualLeavingTime = std::chrono::seconds(3); // Of servers that do not say how long.

std::string_view kindOf(bool isReclaimable)
{
    return isReclaimable ? "spot" : "ordinary";
}

} // namespace

ServerScaling::ServerScaling(asio::io_context& loop, const RoutingDecoder& decoder, ProviderApi& provider, Clock clock)
    : m_loop(loop)
    , m_decoder(decoder)
    , m_provider(provider)
    , m_clock(std::move(clock))
    , m_isAlive(std::make_shared<bool>(true))
{
}

ServerScaling::~ServerScaling()
{
    *m_isAlive = false;
}

void ServerScaling::setRouting(RoutingVersion version, std::string_view text)
{
    if (version <= m_version)
        return;
    m_version = version;
    const auto decoded = m_decoder.decode(text);
    if (!decoded.isValid())
        return;
    std::map<ServiceId, Service> services;
    for (const auto& it : decoded.configuration.services) {
        if (!it.scaling || it.scaling->prices.empty())
            continue;
        auto& service = services[it.id];
        if (const auto known = m_services.find(it.id); known != m_services.end())
            service = std::move(known->second);
        service.configuration = it;
    }
    m_services = std::move(services);
}

bool ServerScaling::isDue(TimePoint now) const
{
    return !m_services.empty() && now >= m_lastDecision + decisionInterval;
}

void ServerScaling::decide(const ScalingInput& input, TimePoint now)
{
    m_lastDecision = now;
    // What an earlier holder ordered shows in the servers seen only.
    const auto isHolder = m_provider.holdsDuties();
    const auto isNew = isHolder && !m_isHolder;
    m_isHolder = isHolder;
    if (isNew)
        m_ordering.reset();
    trackLeaving(input.servers, now);
    std::set<ServiceId> ids;
    for (auto& [id, service] : m_services) {
        ids.insert(id);
        if (isNew)
            service.policy.startOver();
        service.seen = observe(service, input, now);
        const auto& wanted = service.policy.decide(service.seen, now);
        if (isHolder)
            m_ordering.update(id, wanted, service.seen, now);
    }
    m_ordering.retain(ids);
    if (!isHolder)
        return;
    for (auto& it : m_ordering.takeDue(now))
        asio::co_spawn(m_loop, send(std::move(it)), asio::detached);
}

ServiceObservation ServerScaling::observe(const Service& service, const ScalingInput& input, TimePoint now) const
{
    const auto& configuration = service.configuration;
    ServiceObservation seen { .limits = *configuration.scaling, .serving = {}, .leaving = {}, .unavailable = m_ordering.unavailable(configuration.id, now) };
    std::unordered_map<std::uint32_t, const BackendUsage*> usage;
    for (const auto& it : input.usage.backends)
        usage[it.backendHash] = &it;
    std::uint64_t slots = 0;
    for (const auto& it : input.servers) {
        if (it.service != configuration.id || it.state == BackendState::Lapsed)
            continue;
        const OrderedGroup group { it.failureDomain, it.isReclaimable };
        if (it.state == BackendState::Serving) {
            ++seen.serving[group];
            slots += it.slots;
        } else if (const auto leaving = m_leaving.find(it.id); leaving != m_leaving.end() && now < leaving->second.endsAt) {
            ++seen.leaving[group];
        }
        const auto work = usage.find(hashOfAddress(it.id.value()));
        if (work == usage.end())
            continue;
        seen.running += work->second->requests;
        seen.backlogTokens += work->second->promptTokens;
        seen.prefillingServers += work->second->promptTokens > 0;
    }
    const auto n = totalOf(seen.serving);
    seen.slotsPerServer = n ? static_cast<double>(slots) / n : 1;
    seen.hasPrompts = configuration.engine.has_value();
    seen.demand = input.demandOf(configuration.id);
    seen.entryInstances = input.usage.entryInstances;
    return seen;
}

void ServerScaling::trackLeaving(const std::vector<BackendRecord>& servers, TimePoint now)
{
    std::map<BackendId, Leaving> leaving;
    for (const auto& it : servers) {
        if (it.state != BackendState::Leaving || !m_services.contains(it.service))
            continue;
        const auto known = m_leaving.find(it.id);
        if (known != m_leaving.end() && known->second.incarnation == it.incarnation)
            leaving.insert(*known);
        else
            leaving[it.id] = { .incarnation = it.incarnation, .endsAt = now + it.leavesIn.value_or(usualLeavingTime) };
    }
    m_leaving = std::move(leaving);
}

Task<void> ServerScaling::send(ServerOrder order)
{
    const auto isAlive = m_isAlive;
    const auto cause = causeOf(order);
    const auto sentAt = m_clock();
    const auto outcome = co_await m_provider.orderServers(order);
    if (!*isAlive)
        co_return;
    const auto now = m_clock();
    m_ordering.finish(order, outcome, now);
    logEvent(LogEvent::ServersOrdered, "service={} domain={} kind={} servers={} outcome={} took_ms={} {}", order.service.value(), order.domain.value(), kindOf(order.isReclaimable), order.servers, toString(outcome), (now - sentAt) / std::chrono::milliseconds(1), cause);
}

std::string ServerScaling::causeOf(const ServerOrder& order) const
{
    const auto it = m_services.find(order.service);
    if (it == m_services.end())
        return {};
    const auto& seen = it->second.seen;
    const auto& need = it->second.policy.need();
    const OrderedGroup group { order.domain, order.isReclaimable };
    return fmt::format("seen={} leaving={} seen_all={} survivors={} level={} load={:.1f} peak={:.1f} arrivals={} prompt_tokens={} refused={} waiting={} running={} backlog={} rate={:.1f} unavailable={}",
        countOf(seen.serving, group), countOf(seen.leaving, group), totalOf(seen.serving), survivorsOf(seen.serving), need.level(), need.load(), need.peakLoad(), seen.demand.arrivals, seen.demand.promptTokens, seen.demand.refused, seen.demand.waiting, seen.running, seen.backlogTokens, need.prefillRate(), seen.unavailable.size());
}

std::string ServerScaling::metricsText() const
{
    std::string text;
    for (const auto& [id, service] : m_services) {
        for (const auto& [domain, price] : service.configuration.scaling->prices) {
            for (const auto isReclaimable : { false, true }) {
                const OrderedGroup group { domain, isReclaimable };
                const auto labels = fmt::format("{{service=\"{}\",domain=\"{}\",kind=\"{}\"}}", id.value(), domain.value(), kindOf(isReclaimable));
                // Only the holder's numbers become orders.
                if (m_isHolder)
                    text += fmt::format("hickoryhollow_servers_wanted{} {}\n", labels, countOf(service.policy.wanted(), group));
                text += fmt::format("hickoryhollow_servers_seen{} {}\n", labels, countOf(service.seen.serving, group));
                text += fmt::format("hickoryhollow_servers_leaving{} {}\n", labels, countOf(service.seen.leaving, group));
            }
        }
    }
    return text;
}

} // namespace HickoryHollow
