/** \file
 * The links of a state instance. It dials every other state instance that it knows and sends to it on that link; it
 * accepts links that entry instances and other state instances dial. The first frame of each link advertises addresses
 * of state instances, so that a process needs only a few seeds to discover all of them.
 */
#pragma once

#include "links/AcceptedLinks.h"
#include "links/Link.h"
#include "links/StateAddresses.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace HickoryHollow::Wire {
class LinkMessage;
class LinkHello;
class StateAddress;
}

namespace HickoryHollow {

/** Identifies an accepted link of an entry instance; unique within the process. */
using EntryLinkId = StrongId<struct EntryLinkTag, std::uint64_t>;

class StateMesh {
public:
    struct Options {
        /** `ip:port` that other instances dial; it also identifies this instance among the state instances. */
        std::string listen;
        std::string bind; ///< `ip:port` to bind if it differs from `listen`; else empty.
        std::string instance; ///< Name of this instance.
        FailureDomainId failureDomain;
        Incarnation incarnation;
        LinkOptions link = {};
        AcceptedLinks::Options accepted = {};
    };

    /** What an entry instance said of itself when it joined. */
    struct EntryHello {
        std::string instance; ///< Its name.
        FailureDomainId failureDomain;
        std::string relayListen; ///< `ip:port` at which it accepts relayed requests; empty if it accepts none.
    };

    /** Callbacks to the owner; all are called on the event loop. */
    struct Events {
        /** A message of a state instance, on the link that it dialled. */
        std::function<void(const InstanceId& from, const Wire::LinkMessage&)> stateMessage;
        std::function<void(EntryLinkId from, const Wire::LinkMessage&)> entryMessage;
        /** An entry instance sent its hello on an accepted link. Called once for each link. */
        std::function<void(EntryLinkId, const EntryHello&)> entryJoined;
        std::function<void(EntryLinkId)> entryLeft;
        /** The link dialled to that state instance is open: messages can be sent to it. */
        std::function<void(const InstanceId&)> stateJoined;
        std::function<void(const InstanceId&)> stateLeft; ///< The link dialled to that state instance was lost.
        /** The last link that that state instance dialled was lost: no message of it follows until it dials again. */
        std::function<void(const InstanceId&)> stateSilent;
    };

    /** Opens the listener; throws UserError. */
    StateMesh(asio::io_context&, Options, Events);
    ~StateMesh();
    StateMesh(const StateMesh&) = delete;
    StateMesh& operator=(const StateMesh&) = delete;

    void setSeeds(const std::vector<InstanceId>&);
    /** Dials newly learned addresses and forgets stale ones. Call several times per second. */
    void tick();
    /** Sends on the link dialled to that state instance; drops the message if none is open. */
    void sendToState(const InstanceId&, const Wire::LinkMessage&);
    /** Sends to every state instance with an open link. */
    void sendToStates(const Wire::LinkMessage&);
    /** Drops the message if the link is no longer open. */
    void sendToEntry(EntryLinkId, const Wire::LinkMessage&);
    /** As sendToEntry(), for a message that goes to several links at different times. */
    void sendFrameToEntry(EntryLinkId, SharedFrame);
    void sendToEntries(const Wire::LinkMessage&);
    /** Sends the newest state of a subject once that link is free; see LinkQueue::pushLatest(). */
    void sendLatestToEntry(EntryLinkId, LinkSubject, FrameSource);
    /** Sends the message as the newest state of a subject to every entry instance. */
    void sendLatestToEntries(LinkSubject, const Wire::LinkMessage&);

    /** Returns Options::listen. */
    const InstanceId& self() const;
    /** Returns the state instances that this one has an open dialled link to. */
    std::set<InstanceId> reachable() const;
    /** Returns all known state instances except this one. */
    std::set<InstanceId> known() const;
    /** Returns the number of links that entry instances have open to this instance. */
    std::size_t entryLinks() const;
    /** Returns the number of accepted links that were closed because there were too many, or their greeting was overdue. */
    std::uint64_t linksClosed() const;
    /** Returns the addresses that this instance advertises: its own, and those that it had a link to lately. */
    std::vector<Wire::StateAddress> advertisedAddresses() const;

private:
    struct State;

    std::shared_ptr<State> m_state;
};

std::vector<StateAddress> fromWire(const std::vector<Wire::StateAddress>&);

} // namespace HickoryHollow
