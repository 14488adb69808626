/** \file
 * Orders the servers of a large group by their load, kept up to date server by server, so that a decision looks at the head of
 * the order instead of at all servers. Reads no clock.
 *
 * The cost of a request at a server is its load plus the request's own work times the server's slowness, plus penalties for a
 * reservation and for another failure domain. Servers are therefore kept apart by the penalties, and by slowness in classes that
 * differ by `slownessStep`: within one class the least loaded server costs at most that factor more than the cheapest one.
 */
#pragma once

#include "placement/ServerHandle.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>

namespace HickoryHollow {

/** Whether a server takes requests at present. */
enum class Readiness {
    Ready,
    Doubtful, ///< Ejected or lapsed: it is selected only if no ready server is left.
    None, ///< It takes no request.
};

/** What decides on a server's place in the order. */
struct LoadPosition {
    Readiness readiness = Readiness::Ready;
    bool isReserved = false;
    bool isInOwnDomain = false;
    double slowness = 1;
    double load = 0; ///< In milliseconds; see loadOf().

    bool operator==(const LoadPosition&) const = default;
};

class LoadOrder {
public:
    static constexpr double slownessStep = 1.25; ///< Ratio of the slowness of one class to that of the one before.

    /** Sets the place of a server. Servers with the same load are ordered by `tie`, which should be random. */
    void set(ServerHandle, const LoadPosition&, std::uint64_t tie);
    void remove(ServerHandle);
    bool contains(ServerHandle server) const { return m_positions.contains(server); }
    /**
     * Calls `visit` with the servers of each class of this readiness and reservation, the least loaded first, until it has returned
     * true `n` times or was called `maxSteps` times for the class.
     */
    template <typename Visit>
    void visit(Readiness, bool isReserved, std::size_t n, std::size_t maxSteps, const Visit&) const;

private:
    static constexpr int maxSlownessClass = 16; ///< Bounds the number of classes.

    struct ClassKey {
        Readiness readiness;
        bool isReserved;
        bool isInOwnDomain;
        int slownessClass;

        auto operator<=>(const ClassKey&) const = default;
    };

    struct Entry {
        double load;
        std::uint64_t tie;
        ServerHandle server;

        auto operator<=>(const Entry&) const = default;
    };

    struct Place {
        LoadPosition position;
        ClassKey key;
        Entry entry;
    };

    static ClassKey classOf(const LoadPosition&);

    std::map<ClassKey, std::set<Entry>> m_classes; // None is empty. Servers of Readiness::None are in none.
    std::unordered_map<ServerHandle, Place> m_positions;
};

template <typename Visit>
void LoadOrder::visit(Readiness readiness, bool isReserved, std::size_t n, std::size_t maxSteps, const Visit& visit) const
{
    for (auto it = m_classes.lower_bound({ readiness, isReserved, false, -maxSlownessClass }); it != m_classes.end() && it->first.readiness == readiness && it->first.isReserved == isReserved; ++it) {
        std::size_t taken = 0;
        std::size_t steps = 0;
        for (auto entry = it->second.begin(); entry != it->second.end() && taken < n && steps < maxSteps; ++entry, ++steps)
            taken += visit(entry->server) ? 1 : 0;
    }
}

} // namespace HickoryHollow
