/** \file
 * The preferred engines of a shared prefix, which every instance finds alike from the prefix and the engines that serve, so that
 * a prefix is prefilled on one engine and not on all of them.
 *
 * Small services use rendezvous hashing, which weighs every engine. In a large one each engine has one point on a ring, and the
 * prefix has several probes there: the engines whose points follow the probes most closely are preferred. That takes the same
 * time for any number of engines and, like rendezvous hashing, moves few prefixes when an engine comes or goes.
 */
#pragma once

#include "placement/KnownServer.h"

#include <array>
#include <cstdint>
#include <functional>
#include <set>
#include <vector>

namespace HickoryHollow {

/** Returns the engines with the largest rendezvous weights for the prefix, at most `n`, the largest first. */
std::vector<const KnownServer*> homesByWeight(const std::vector<KnownServer*>& engines, std::uint64_t prefixHash, std::size_t n);

class HomeRing {
public:
    /** Puts the engine on the ring for the kind of requests that it is reserved for, or takes it off if it does not serve. */
    void set(KnownServer&);
    void remove(KnownServer&);
    /**
     * Returns the preferred engines for the prefix, at most `n`, among the engines with this reservation that are not ejected.
     * Adds the number of engines looked at to `looked`.
     */
    std::vector<const KnownServer*> homesOf(std::uint64_t prefixHash, bool isReserved, std::size_t n, const std::function<bool(const KnownServer&)>& isEjected, std::uint64_t& looked) const;

private:
    struct Point {
        std::uint64_t position;
        const KnownServer* engine;

        bool operator<(const Point& other) const { return position != other.position ? position < other.position : engine->record.id < other.engine->record.id; }
    };

    std::array<std::set<Point>, 2> m_points; // By whether the engine is reserved for interactive requests.
};

} // namespace HickoryHollow
