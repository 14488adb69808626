/** \file
 * The entry instances that a state instance knows, and the selection of them that each entry instance learns. Performs no I/O and
 * reads no clock.
 *
 * Each source lists its entry instances: an attached entry instance itself, and each other state instance all that are attached to
 * it. Names of sources are those of node/ReportSource.h.
 */
#pragma once

#include "base/Time.h"
#include "links/EntryAddress.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace HickoryHollow {

class EntryAddressBook {
public:
    struct Options {
        std::size_t ownDomainTargets = 4; ///< Most entry instances of the receiver's failure domain in a selection.
        std::size_t otherDomainTargets = 8; ///< Most entry instances of all other failure domains together.
        /** How long the list of a source is kept after lose(): its entry instances attach elsewhere meanwhile. */
        Duration keepAfterLoss = std::chrono::seconds(5);
    };

    EntryAddressBook();
    explicit EntryAddressBook(Options);

    /** Replaces the list of a source; see dropUnusable() for what is taken of it. Ends the effect of lose(). */
    void set(const std::string& source, std::vector<EntryAddress>);
    void remove(const std::string& source);
    /** Records that nothing more comes from a source. expire() removes it unless set() is called before. */
    void lose(const std::string& source, TimePoint now);
    /** Removes the sources that were lost longer than Options::keepAfterLoss ago. */
    void expire(TimePoint now);

    /** Returns the addresses of all sources whose name begins with `prefix`, each once, in the order of their text. */
    std::vector<EntryAddress> listedBy(std::string_view prefix) const;
    /**
     * Returns the entry instances that the one at `listen` may relay requests through: those of its own failure domain first, then
     * others spread evenly over their failure domains; never itself. Rendezvous hashing makes the selections of different receivers
     * independent, so that all candidates of a domain are selected about equally often, and an entry instance that comes or goes
     * changes one item of those selections only that hold it.
     */
    std::vector<EntryAddress> selectionFor(const std::string& listen, const FailureDomainId&) const;

    /** Changes whenever any result of listedBy() or selectionFor() may have changed. */
    std::uint64_t revision() const { return m_revision; }

private:
    struct Source {
        std::vector<EntryAddress> addresses; // Only usable ones, at most maxEntryAddresses.
        std::optional<TimePoint> lostAt;
    };

    void rebuild();

    Options m_options;
    std::map<std::string, Source> m_sources;
    // All listed addresses by failure domain, each once: an entry instance that moves may be listed by two sources.
    std::map<FailureDomainId, std::vector<std::string>> m_byDomain;
    std::uint64_t m_revision = 0;
};

} // namespace HickoryHollow
