#include "placement/PlacementCost.h"

#include "placement/KnownServer.h"

#include <algorithm>
#include <array>

namespace HickoryHollow {

namespace {

constexpr double tokensPerMillisecond = 60; // Prefill rate assumed for every engine; its slowness corrects it.
constexpr double millisecondsPerRunning = 2; // Each running request lengthens the engine step that the new one waits for.
constexpr double millisecondsPerQueued = 50; // A request beyond the engine's slots waits until another one ends.
constexpr double millisecondsPerPlainCall = 30; // Time of one call without a prompt that is ahead in the server's queue.
constexpr double otherDomainMilliseconds = 3; // Network distance and the price of traffic between failure domains.
constexpr double repeatedPrefillWeight = 4; // A repeated prefill of a shared prefix also delays all later requests.
constexpr double preferenceRankMilliseconds = 30; // Makes all instances fall back to the same next preferred engine.
// Probability, by rank, that another instance already had the prefix prefilled on the preferred engine.
constexpr std::array<double, maxPreferredEngines> cachedProbability { 0.8, 0.5, 0.3, 0.1, 0, 0 };
constexpr double interactiveUnreservedMilliseconds = 100; // Pause that the prefill of a long prompt causes in a stream.
// A long prompt pauses all interactive streams of a reserved engine, so waiting elsewhere is better.
constexpr double promptOnReservedMilliseconds = 1500;

// A failed call counts as running for a while, as an answered one would: failing at once is no spare capacity.
double runningAt(const KnownServer& server, TimePoint now)
{
    const auto failed = std::max(server.fleetFailures, server.recentCalls.counts(now).failures);
    return static_cast<double>(server.active() + failed);
}

double queueingAt(const KnownServer& server, double running)
{
    const auto slots = static_cast<double>(std::max(1U, server.record.slots));
    return std::max(0.0, running + 1 - slots) * millisecondsPerQueued;
}

double plainLoadOf(const KnownServer& server)
{
    return static_cast<double>(server.active()) / std::max(1U, server.record.slots) * millisecondsPerPlainCall * server.slowness;
}

} // namespace

double loadOf(const KnownServer& server, bool hasPrompts, TimePoint now)
{
    if (!hasPrompts)
        return plainLoadOf(server);
    const auto running = runningAt(server, now);
    return queueingAt(server, running) + (server.tokensAhead() / tokensPerMillisecond + running * millisecondsPerRunning) * server.slowness;
}

double prefillBacklogOf(const KnownServer& server)
{
    return server.tokensAhead() / tokensPerMillisecond * server.slowness;
}

CostEstimate estimateCost(const KnownServer& server, const CostContext& context)
{
    const auto& [request, prefixes, preferred, hasReservation, now] = context;
    const auto domainPenalty = server.isInOwnDomain ? 0.0 : otherDomainMilliseconds;
    if (request.prompt.isEmpty()) {
        const auto time = domainPenalty + plainLoadOf(server);
        return { .cost = time, .time = time, .repeatedPrefill = 0, .uncachedTokens = 0 };
    }
    const auto running = runningAt(server, now);
    const auto shared = sharedPrefixOf(prefixes).tokens;
    const auto cached = std::min(server.cache.cachedTokens(prefixes), request.prompt.tokens);
    const auto uncachedShared = shared - std::min(shared, cached);
    const auto uncached = request.prompt.tokens - cached;
    const auto rank = static_cast<std::size_t>(std::find(preferred.engines.begin(), preferred.engines.end(), &server) - preferred.engines.begin());
    const auto hitProbability = rank < preferred.engines.size() && !preferred.isPrefixCached ? cachedProbability[rank] : 0.0;
    const auto expectedUncachedShared = static_cast<double>(uncachedShared) * (1 - hitProbability);
    const auto expectedUncached = std::max(0.0, static_cast<double>(uncached) - static_cast<double>(uncachedShared) * hitProbability);
    const auto tokensAhead = static_cast<double>(server.tokensAhead());
    const auto breaksReservation = server.isReserved != request.isInteractive && hasReservation;
    const auto reservationPenalty = breaksReservation ? (request.isInteractive ? interactiveUnreservedMilliseconds : promptOnReservedMilliseconds) : 0.0;
    const auto queueing = queueingAt(server, running);
    const auto prefill = (tokensAhead + expectedUncached) / tokensPerMillisecond;
    const auto time = domainPenalty + queueing + (prefill + running * millisecondsPerRunning) * server.slowness;
    const auto repeatedPrefill = expectedUncachedShared * repeatedPrefillWeight / tokensPerMillisecond * server.slowness;
    const auto rankPenalty = shared > 0 ? static_cast<double>(rank) * preferenceRankMilliseconds : 0.0;
    return { .cost = time + repeatedPrefill + rankPenalty + reservationPenalty, .time = time, .repeatedPrefill = repeatedPrefill, .uncachedTokens = static_cast<std::uint32_t>(expectedUncached) };
}

} // namespace HickoryHollow
