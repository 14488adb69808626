/** \file
 * Decides what each entry instance's link is sent to bring it to the newest routing configuration: nothing, the
 * difference from the version that it holds, or the whole. Performs no I/O and reads no clock.
 *
 * It answers the load of many changes in quick succession to a large configuration with hundreds of entry instances
 * behind slow network connections: a version that was overtaken before a link was free is never sent on it, and all
 * links that go from the same version to the newest one share one frame.
 */
#pragma once

#include "ledger/Commands.h"
#include "links/LinkQueue.h"
#include "links/StateMesh.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>

namespace HickoryHollow {

class RoutingBroadcast {
public:
    struct Options {
        /** Earlier versions are kept, to make differences from them, up to this size together. */
        std::size_t maxHistoryBytes = 4UL << 20U;
    };

    explicit RoutingBroadcast(Options options = { .maxHistoryBytes = 4UL << 20U })
        : m_options(options)
    {
    }

    /** Sets the newest configuration; ignored unless its version is higher. */
    void publish(std::shared_ptr<const RoutingDocument>);
    /**
     * Records the version that an entry instance reported; 0 for none. With `needsWhole`, a difference did not fit its
     * text. Before the first report of a link nothing is due on it.
     */
    void setHeld(EntryLinkId, RoutingVersion held, bool needsWhole);
    void remove(EntryLinkId id) { m_sent.erase(id); }
    /** Returns the links whose newest sent or held version is not the newest one. */
    std::vector<EntryLinkId> dueLinks() const;
    bool isDue(EntryLinkId) const;
    /** Returns the frame that brings the link to the newest version, and counts it as sent. Null if nothing is due. */
    SharedFrame takeFrame(EntryLinkId);

    /** Size of the earlier versions and the shared frames that are kept, in bytes. */
    std::size_t keptBytes() const;

private:
    SharedFrame makeFrame(RoutingVersion base) const;

    Options m_options;
    std::shared_ptr<const RoutingDocument> m_newest; // Null before the first configuration.
    std::deque<std::shared_ptr<const RoutingDocument>> m_history; // Versions before m_newest, oldest first.
    std::map<RoutingVersion, SharedFrame> m_frames; // Frames to m_newest by the version that they start from; 0: whole.
    std::map<EntryLinkId, RoutingVersion> m_sent; // Newest version that the link was sent or reported to hold.
};

} // namespace HickoryHollow
