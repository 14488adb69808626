#include "placement/CompletionModel.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace HickoryHollow {

namespace {

constexpr double sampleDecay = 0.94; // At least the last 16 or so requests count, which an instance ends within a few seconds.
constexpr Duration samplePeriod = std::chrono::milliseconds(700); // Where more requests end, those of about this time count.
constexpr double minSamples = 3; // One slow engine step must not pass for overload.
constexpr Duration maxSampleAge = std::chrono::seconds(10); // Longer than the bursts that the model is for.
// Callers of one class wait about equally long, and repeats less: the average stays near the larger values.
constexpr double risingTimeoutWeight = 0.2;
constexpr double fallingTimeoutWeight = 0.02;
constexpr double leastRise = 1.002; // For each sample: the lowest time outlasts a burst of some hundred requests.
// A server that is not saturated takes no longer for more requests, so an estimate far beyond what was seen would be too long.
constexpr double maxExtrapolation = 1.5;
// Share of the caller's time that requests of the least urgent class may take at an engine. The rest is for the wait in the queue, and
// lets a caller that was refused once and came back after a third of its time still get its answer.
constexpr double budgetShare = 0.6;
// The same of the other classes, which wait less and are rarely refused. In the replay at factor 3 with 60 instances, 0.6 left
// engines with fewer long prompts than they can serve (1,993 drafts served, against 2,232).
constexpr double urgentBudgetShare = 0.8;
constexpr double strainedShare = 0.3; // Without overload, most requests take a quarter of their callers' time or less.
constexpr double returningShare = 0.9; // Transport takes some per cent of a new caller's time; a wait takes more.

double toSeconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

void CompletionModel::recordArrival(const ServiceId& service, std::uint32_t priority, Duration callerTimeout)
{
    auto& usual = m_classes[service][priority].usualTimeout;
    if (usual == Duration())
        usual = callerTimeout;
    const auto weight = callerTimeout > usual ? risingTimeoutWeight : fallingTimeoutWeight;
    usual += std::chrono::duration_cast<Duration>((callerTimeout - usual) * weight);
}

void ClassCompletions::add(const ClassCompletions& other)
{
    least = ended == 0 ? other.least : std::min(least, other.least);
    ended += other.ended;
    took += other.took;
    requests += other.requests;
}

void CompletionModel::Sums::add(const ClassCompletions& completions, TimePoint now)
{
    if (now - lastEndAt > maxSampleAge)
        seconds = requests = samples = 0;
    const auto decay = std::max(std::pow(sampleDecay, completions.ended), std::exp(-toSeconds(now - lastEndAt) / toSeconds(samplePeriod)));
    seconds = seconds * decay + toSeconds(completions.took);
    requests = requests * decay + completions.requests;
    samples = samples * decay + completions.ended;
    lastEndAt = now;
}

bool CompletionModel::Sums::isKnown(TimePoint now) const
{
    return samples >= minSamples * sampleDecay && requests > 0 && now - lastEndAt <= maxSampleAge;
}

const CompletionModel::Sums* CompletionModel::Class::recent(TimePoint now) const
{
    if (fleet.isKnown(now) && fleet.samples >= own.samples)
        return &fleet;
    return own.isKnown(now) ? &own : nullptr;
}

void CompletionModel::Class::lowerLeast(const ClassCompletions& completions)
{
    const auto least = toSeconds(completions.least);
    leastSeconds = leastSeconds > 0 ? std::min(leastSeconds * std::pow(leastRise, completions.ended), least) : least;
}

void CompletionModel::recordEnd(const ServiceId& service, std::uint32_t priority, const Sample& sample, TimePoint now)
{
    auto& it = m_classes[service][priority];
    const ClassCompletions one { .service = service, .priority = priority, .ended = 1, .took = sample.took, .requests = std::max(1.0, sample.requests), .least = sample.took };
    it.own.add(one, now);
    it.lowerLeast(one);
    it.unreported.add(one);
}

std::vector<ClassCompletions> CompletionModel::takeCompletions()
{
    std::vector<ClassCompletions> taken;
    for (auto& [service, classes] : m_classes) {
        for (auto& [priority, it] : classes) {
            if (it.unreported.ended == 0)
                continue;
            it.unreported.service = service;
            it.unreported.priority = priority;
            taken.push_back(std::exchange(it.unreported, {}));
        }
    }
    return taken;
}

// Services and priorities come from arrivals only, so that a report cannot add to the memory of the model.
void CompletionModel::recordFleet(const std::vector<ClassCompletions>& completions, TimePoint now)
{
    for (const auto& it : completions) {
        const auto service = m_classes.find(it.service);
        if (it.ended == 0 || service == m_classes.end())
            continue;
        const auto found = service->second.find(it.priority);
        if (found == service->second.end())
            continue;
        found->second.fleet.add(it, now);
        found->second.lowerLeast(it);
    }
}

// Long streams take most of their callers' time without any overload. Then only what exceeds the unloaded time counts.
double CompletionModel::secondsAt(const Class& it, double share)
{
    const auto timeout = toSeconds(it.usualTimeout);
    const auto unloaded = std::min(it.leastSeconds, timeout);
    return std::max(share * timeout, unloaded + share * share * (timeout - unloaded));
}

std::optional<Duration> CompletionModel::timeToEnd(const ServiceId& service, std::uint32_t priority, double requests, TimePoint now) const
{
    const auto found = m_classes.find(service);
    if (found == m_classes.end() || !found->second.contains(priority))
        return std::nullopt;
    const auto* recent = found->second.at(priority).recent(now);
    if (!recent)
        return std::nullopt;
    const auto seconds = std::min(recent->seconds * std::max(1.0, requests) / recent->requests, recent->seconds / recent->samples * maxExtrapolation);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

std::optional<double> CompletionModel::maxRequests(const ServiceId& service, std::uint32_t priority, TimePoint now) const
{
    const auto found = m_classes.find(service);
    if (found == m_classes.end())
        return std::nullopt;
    std::optional<double> least;
    for (const auto& [classPriority, it] : found->second) {
        if (classPriority > priority)
            break;
        if (const auto* recent = it.recent(now)) {
            const auto isLeastUrgent = classPriority == found->second.rbegin()->first;
            const auto most = secondsAt(it, isLeastUrgent ? budgetShare : urgentBudgetShare) / std::max(recent->seconds / recent->requests, 1e-6);
            least = std::min(least.value_or(most), most);
        }
    }
    return least;
}

bool CompletionModel::isStrained(const ServiceId& service, TimePoint now) const
{
    const auto found = m_classes.find(service);
    return found != m_classes.end() && std::any_of(found->second.begin(), found->second.end(), [now](const auto& it) {
        const auto* recent = it.second.recent(now);
        return recent && recent->seconds / recent->samples > secondsAt(it.second, strainedShare);
    });
}

bool CompletionModel::isReturning(const ServiceId& service, std::uint32_t priority, Duration callerTimeout) const
{
    const auto found = m_classes.find(service);
    if (found == m_classes.end() || !found->second.contains(priority))
        return false;
    return toSeconds(callerTimeout) < returningShare * toSeconds(found->second.at(priority).usualTimeout);
}

} // namespace HickoryHollow
