#include "scaling/ServerOrdering.h"

#include <algorithm>
#include <functional>

namespace HickoryHollow {

namespace {

constexpr std::size_t maxInProgress = 4; // A burst raises one group in each domain, and a slow provider takes seconds for each.
constexpr std::size_t maxInProgressUnanswered = 2; // After a call without an answer, until one is answered.
constexpr Duration orderInterval = std::chrono::seconds(1); // For each group.
constexpr Duration effectMargin = std::chrono::seconds(2); // Beyond the boot time: the first announcement, and its replication.
constexpr Duration longestEffectWait = std::chrono::seconds(60);
constexpr Duration lossDelay = std::chrono::milliseconds(300); // The servers of a domain announce their end one after the other.
constexpr Duration differenceDelay = std::chrono::seconds(3); // A crashed server is often back within this time.
constexpr Duration unknownDelay = std::chrono::seconds(1);
constexpr Duration longestUnknownDelay = std::chrono::seconds(8);
constexpr Duration busyDelay = std::chrono::milliseconds(500);
constexpr Duration longestBusyDelay = std::chrono::seconds(4);
constexpr Duration supersededDelay = std::chrono::seconds(3); // Until this instance has lost the duties or has a new token.
constexpr Duration refusalDelay = std::chrono::seconds(4); // Spot servers can be had again after 8 to 11 s.
constexpr Duration longestRefusalDelay = std::chrono::seconds(8);
constexpr std::uint32_t attemptsWithoutEffect = 2; // Afterwards other groups take the place of this one.
constexpr Duration withoutEffectDelay = std::chrono::seconds(30);
constexpr Duration longestWithoutEffectDelay = std::chrono::minutes(2);

Duration doubled(Duration first, std::uint32_t times, Duration longest)
{
    return std::min(longest, first * (1U << std::min<std::uint32_t>(times, 8)));
}

} // namespace

void ServerOrdering::update(const ServiceId& service, const ServerCounts& wanted, const ServiceObservation& observation, TimePoint now)
{
    std::erase_if(m_subjects, [&](const auto& it) { return it.first.service == service && !it.second.isInProgress && !wanted.contains(it.first.group); });
    for (const auto& [group, n] : wanted) {
        auto& state = m_subjects[{ service, group }];
        const auto seen = countOf(observation.serving, group);
        if (!state.accepted)
            state.seen = seen;
        if (!state.accepted || (!state.hasOrdered && seen == n))
            state.accepted = seen;
        if (seen < state.seen && seen < n && !state.lostAt)
            state.lostAt = now;
        state.wanted = n;
        state.seen = seen;
        state.leaving = countOf(observation.leaving, group);
        state.bootTime = observation.limits.bootTime;
        if (seen == n && state.accepted == n) {
            state.hasAgreed = true;
            state.withoutEffect = 0;
            state.lostAt.reset();
            state.isRepeatedAfterLeaving = false;
        }
        if (seen == n || !state.hasAgreed)
            state.differsSince.reset();
        else if (!state.differsSince)
            state.differsSince = now;
    }
}

bool ServerOrdering::hasDifference(const State& state, TimePoint now)
{
    if (state.seen == state.wanted)
        return false;
    if (state.isRepeatedAfterLeaving && !state.leaving && state.seen < state.wanted)
        return true;
    if (state.lostAt && now >= *state.lostAt + (state.leaving ? lossDelay : differenceDelay))
        return true;
    if (state.hasAgreed)
        return state.differsSince && now >= *state.differsSince + differenceDelay;
    return now >= state.effectBy;
}

bool ServerOrdering::isDue(const State& state, TimePoint now)
{
    if (state.isInProgress || now < state.notBefore)
        return false;
    if (now < state.unavailableUntil && state.wanted >= state.seen)
        return false;
    return state.needsRepeat || state.wanted != state.accepted || hasDifference(state, now);
}

void ServerOrdering::begin(State& state, TimePoint now)
{
    const auto difference = std::max(state.seen, state.wanted) - std::min(state.seen, state.wanted);
    const auto isWithoutEffect = !state.needsRepeat && state.wanted == state.accepted && !state.hasAgreed && now >= state.effectBy && difference >= state.differenceAtOrder;
    state.withoutEffect = isWithoutEffect ? state.withoutEffect + 1 : 0;
    state.isRepeatedAfterLeaving = state.leaving > 0 && state.seen < state.wanted;
    state.isInProgress = true;
    state.hasOrdered = true;
    state.hasAgreed = false;
    state.differsSince.reset();
    state.lostAt.reset();
    state.differenceAtOrder = difference;
}

std::vector<ServerOrder> ServerOrdering::takeDue(TimePoint now)
{
    std::size_t inProgress = 0;
    std::vector<decltype(m_subjects)::value_type*> due;
    for (auto& it : m_subjects) {
        inProgress += it.second.isInProgress;
        if (isDue(it.second, now))
            due.push_back(&it);
    }
    // The largest shortage first, reductions last.
    std::ranges::stable_sort(due, std::greater(), [](const auto* it) { return static_cast<std::int64_t>(it->second.wanted) - it->second.seen; });
    std::vector<ServerOrder> orders;
    for (auto* it : due) {
        if (inProgress >= (m_isAnswering ? maxInProgress : maxInProgressUnanswered))
            break;
        begin(it->second, now);
        ++inProgress;
        orders.push_back({ .service = it->first.service, .domain = it->first.group.domain, .isReclaimable = it->first.group.isReclaimable, .servers = it->second.wanted });
    }
    return orders;
}

void ServerOrdering::finish(const ServerOrder& order, ProviderOutcome outcome, TimePoint now)
{
    m_isAnswering = outcome != ProviderOutcome::Unknown;
    const auto it = m_subjects.find({ order.service, { order.domain, order.isReclaimable } });
    if (it == m_subjects.end())
        return;
    auto& state = it->second;
    state.isInProgress = false;
    state.needsRepeat = outcome != ProviderOutcome::Accepted;
    switch (outcome) {
    case ProviderOutcome::Accepted:
        state.accepted = order.servers;
        state.failures = 0;
        state.refusals = 0;
        state.notBefore = now + orderInterval;
        state.effectBy = now + doubled(state.bootTime + effectMargin, state.withoutEffect, longestEffectWait);
        if (state.withoutEffect >= attemptsWithoutEffect && state.seen < state.wanted)
            state.unavailableUntil = now + doubled(withoutEffectDelay, state.withoutEffect - attemptsWithoutEffect, longestWithoutEffectDelay);
        break;
    case ProviderOutcome::NoneAvailable:
        state.failures = 0;
        state.unavailableUntil = now + doubled(refusalDelay, state.refusals++, longestRefusalDelay);
        state.notBefore = state.unavailableUntil; // A refused reduction waits as well.
        break;
    case ProviderOutcome::Busy:
        state.notBefore = now + doubled(busyDelay, state.failures++, longestBusyDelay);
        break;
    case ProviderOutcome::Unknown:
        state.notBefore = now + doubled(unknownDelay, state.failures++, longestUnknownDelay);
        break;
    case ProviderOutcome::Superseded:
        state.notBefore = now + supersededDelay;
        break;
    }
}

std::set<OrderedGroup> ServerOrdering::unavailable(const ServiceId& service, TimePoint now) const
{
    std::set<OrderedGroup> groups;
    for (const auto& [subject, state] : m_subjects) {
        if (subject.service == service && now < state.unavailableUntil)
            groups.insert(subject.group);
    }
    return groups;
}

void ServerOrdering::reset()
{
    std::erase_if(m_subjects, [](const auto& it) { return !it.second.isInProgress; });
    for (auto& [subject, state] : m_subjects) {
        state = {};
        state.isInProgress = true;
        state.hasOrdered = true;
    }
}

void ServerOrdering::retain(const std::set<ServiceId>& services)
{
    std::erase_if(m_subjects, [&](const auto& it) { return !it.second.isInProgress && !services.contains(it.first.service); });
}

} // namespace HickoryHollow
