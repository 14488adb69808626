#include "node/ProviderDuties.h"
#include "node/ReportSource.h"
#include "node/StateInstance.h"
#include "wire/StartReportCodec.h"
#include "wire/gen/hickoryhollow_types.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>

namespace HickoryHollow {

namespace {

constexpr Duration clockReadingInterval = std::chrono::seconds(1);
constexpr Duration demandInterval = std::chrono::milliseconds(500);
constexpr Duration demandLifetime = std::chrono::milliseconds(1750); // Three reports, and a half interval for late ones.
// Of all counts for a state instance that joins: half of what a link queues before it closes. The newest windows come first.
constexpr std::size_t maxInitialCountBytes = 8UL << 20U;
// Windows that are sent for a state instance that is not reached any more: the loss of a link is noticed after 1.6 s.
constexpr std::size_t windowsAfterLoss = 2;

std::chrono::milliseconds wallClock()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

Wire::LinkMessage messageOf(const StartReport& report)
{
    Wire::LinkMessage message;
    message.__set_startReport(toWire(report));
    return message;
}

} // namespace

void StateInstance::createProviderReports()
{
    const auto& provider = m_settings.provider;
    if (provider && provider->reportsUsage)
        m_usageCollector = std::make_unique<UsageCollector>(UsageCollector::Options { .windowLength = provider->usageWindow, .clock = { .minReadings = std::size_t { m_settings.toleratedLosses } + 1 } });
    if (provider && provider->ordersServers)
        m_demandCollector = std::make_unique<DemandCollector>();
    if (m_usageCollector && m_duties)
        m_duties->setUsageSource(*m_usageCollector);
}

bool StateInstance::handleProviderReport(const InstanceId& from, const Wire::LinkMessage& message)
{
    const auto now = monotonicNow();
    if (message.__isset.startReport) {
        if (!m_usageCollector)
            return true;
        const auto report = HickoryHollow::fromWire(message.startReport);
        for (const auto& it : report.counts)
            m_usageCollector->mergeFromState(it, now);
        if (!report.passOnTo.empty()) {
            const auto passedOn = messageOf({ .counts = report.counts, .passOnTo = {} });
            for (const auto& it : report.passOnTo)
                m_mesh.sendToState(it, passedOn);
        }
        return true;
    }
    if (message.__isset.clockReading) {
        if (m_usageCollector)
            m_usageCollector->clock().set(from, std::chrono::milliseconds(message.clockReading.wallClockMs), now);
        return true;
    }
    return handleDemandReport(sourceOf(from), message);
}

bool StateInstance::handleProviderReport(EntryLinkId from, const Wire::LinkMessage& message)
{
    const auto now = monotonicNow();
    if (message.__isset.startReport) {
        if (m_usageCollector) {
            for (const auto& it : HickoryHollow::fromWire(message.startReport).counts)
                m_usageCollector->mergeFromEntry(it, now);
        }
        return true;
    }
    return handleDemandReport(sourceOf(from), message);
}

bool StateInstance::handleDemandReport(const std::string& source, const Wire::LinkMessage& message)
{
    if (message.__isset.demandReport && m_demandCollector)
        m_demandCollector->set(source, HickoryHollow::fromWire(message.demandReport), monotonicNow());
    return message.__isset.demandReport;
}

void StateInstance::publishProviderReports()
{
    if (m_usageCollector)
        publishStarts(monotonicNow());
    if (m_demandCollector)
        publishDemand(monotonicNow());
}

void StateInstance::publishStarts(TimePoint now)
{
    m_usageCollector->clock().setOwn(wallClock(), now);
    m_usageCollector->dropOldWindows(now);
    if (now - m_clockSentAt >= clockReadingInterval) {
        m_clockSentAt = now;
        Wire::ClockReading reading;
        reading.wallClockMs = wallClock().count();
        Wire::LinkMessage message;
        message.__set_clockReading(reading);
        m_mesh.sendToStates(message);
    }
    const auto known = m_mesh.known();
    const auto reachable = m_mesh.reachable();
    std::set<InstanceId> unreached;
    std::set_difference(known.begin(), known.end(), reachable.begin(), reachable.end(), std::inserter(unreached, unreached.end()));
    const auto hasLost = !std::includes(m_unreachedStates.begin(), m_unreachedStates.end(), unreached.begin(), unreached.end());
    m_unreachedStates = unreached;
    auto changes = m_usageCollector->takeChanges();
    if (hasLost) {
        for (auto& it : m_usageCollector->newest(windowsAfterLoss))
            m_mesh.sendToStates(messageOf({ .counts = std::move(it), .passOnTo = unreached }));
    }
    // Changes of older windows come with the entry instances that attach here after the loss.
    if (!changes.empty())
        m_mesh.sendToStates(messageOf({ .counts = std::move(changes), .passOnTo = std::move(unreached) }));
}

void StateInstance::publishDemand(TimePoint now)
{
    m_demandCollector->expire(demandLifetime, now);
    if (now - m_demandSentAt < demandInterval)
        return;
    m_demandSentAt = now;
    Wire::LinkMessage message;
    message.__set_demandReport(toWire(m_demandCollector->sum(entrySources)));
    m_mesh.sendToStates(message);
}

void StateInstance::sendStartsToState(const InstanceId& id)
{
    if (!m_usageCollector)
        return;
    std::size_t bytes = 0;
    for (auto& it : m_usageCollector->newest(m_usageCollector->windows())) {
        const auto message = messageOf({ .counts = std::move(it), .passOnTo = {} });
        bytes += makeSharedFrame(message)->size();
        if (bytes > maxInitialCountBytes)
            return;
        m_mesh.sendToState(id, message);
    }
}

std::string StateInstance::providerMetricsText() const
{
    if (!m_usageCollector)
        return {};
    return fmt::format("hickoryhollow_usage_time_known {}\nhickoryhollow_usage_clocks {}\nhickoryhollow_usage_windows {}\nhickoryhollow_usage_counts_dropped_total {}\n", m_usageCollector->trueTime(monotonicNow()) ? 1 : 0, m_usageCollector->clock().readings(), m_usageCollector->windows(), m_usageCollector->dropped());
}

} // namespace HickoryHollow
