#include "placement/PrefixHomes.h"

#include <algorithm>
#include <xxhash.h>

namespace HickoryHollow {

namespace {

constexpr std::uint64_t ringSeed = 0x2545f4914f6cdd1dULL; // Arbitrary, but the same at every instance.
// With one probe the engine after the widest gap would be the home of several times its share of the prefixes.
constexpr std::uint64_t probes = 12;
constexpr std::size_t maxStepsPerProbe = 8; // At most a third of the engines is ejected, so that a few steps find another one.

std::uint64_t hashOf(const BackendId& id, std::uint64_t seed)
{
    return XXH64(id.value().data(), id.value().size(), seed);
}

} // namespace

std::vector<const KnownServer*> homesByWeight(const std::vector<KnownServer*>& engines, std::uint64_t prefixHash, std::size_t n)
{
    std::vector<std::pair<std::uint64_t, const KnownServer*>> weighted;
    weighted.reserve(engines.size());
    for (const auto* it : engines)
        weighted.emplace_back(hashOf(it->record.id, prefixHash), it);
    const auto count = std::min(weighted.size(), n);
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(count), weighted.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first : a.second->record.id > b.second->record.id;
    });
    std::vector<const KnownServer*> homes;
    for (std::size_t i = 0; i < count; ++i)
        homes.push_back(weighted[i].second);
    return homes;
}

void HomeRing::set(KnownServer& engine)
{
    const auto isServing = engine.record.state == BackendState::Serving;
    if (isServing && engine.ringReservation == engine.isReserved)
        return;
    remove(engine);
    if (!isServing)
        return;
    engine.ringReservation = engine.isReserved;
    m_points[engine.isReserved ? 1 : 0].insert({ .position = hashOf(engine.record.id, ringSeed), .engine = &engine });
}

void HomeRing::remove(KnownServer& engine)
{
    if (engine.ringReservation)
        m_points[*engine.ringReservation ? 1 : 0].erase({ .position = hashOf(engine.record.id, ringSeed), .engine = &engine });
    engine.ringReservation.reset();
}

std::vector<const KnownServer*> HomeRing::homesOf(std::uint64_t prefixHash, bool isReserved, std::size_t n, const std::function<bool(const KnownServer&)>& isEjected, std::uint64_t& looked) const
{
    const auto& points = m_points[isReserved ? 1 : 0];
    std::vector<std::pair<std::uint64_t, const KnownServer*>> found; // By distance from the probe.
    for (std::uint64_t probe = 0; probe < probes && !points.empty(); ++probe) {
        const auto position = XXH64(&probe, sizeof(probe), prefixHash);
        auto it = points.lower_bound(Point { .position = position, .engine = points.begin()->engine });
        for (std::size_t step = 0; step < std::min(maxStepsPerProbe, points.size()); ++step) {
            if (it == points.end())
                it = points.begin();
            ++looked;
            if (!isEjected(*it->engine)) {
                found.emplace_back(it->position - position, it->engine); // Wraps around like the ring.
                break;
            }
            ++it;
        }
    }
    std::sort(found.begin(), found.end(), [](const auto& a, const auto& b) { return a.first != b.first ? a.first < b.first : a.second->record.id < b.second->record.id; });
    std::vector<const KnownServer*> homes;
    for (const auto& [distance, engine] : found) {
        if (homes.size() < n && std::find(homes.begin(), homes.end(), engine) == homes.end())
            homes.push_back(engine);
    }
    return homes;
}

} // namespace HickoryHollow
