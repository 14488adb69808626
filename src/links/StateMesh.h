/** \file
 * The links of a state instance: one dialled to each other state instance that it knows of, and those that other
 * instances dialled. Addresses spread with the first frame of each link, so a process needs only a few seeds.
 */
#pragma once

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

/** Names an entry instance's link within the process. */
using EntryLinkId = StrongId<struct EntryLinkTag, std::uint64_t>;

class StateMesh {
public:
    struct Options {
        std::string listen; ///< `ip:port` that others dial; also this instance's name among the state instances.
        std::string bind; ///< `ip:port` to listen on, where it is another one.
        std::string instance;
        FailureDomainId failureDomain;
        Incarnation incarnation;
        LinkOptions link = {};
    };

    /** What the mesh tells its owner; all are called on the loop. */
    struct Events {
        std::function<void(const InstanceId& from, const Wire::LinkMessage&)> stateMessage;
        std::function<void(EntryLinkId from, const Wire::LinkMessage&)> entryMessage;
        std::function<void(EntryLinkId)> entryJoined;
        std::function<void(EntryLinkId)> entryLeft;
        std::function<void(const InstanceId&)> stateJoined; ///< A link to it is open for sending.
        std::function<void(const InstanceId&)> stateLeft;
    };

    /** Opens the listener; throws UserError. */
    StateMesh(asio::io_context&, Options, Events);
    ~StateMesh();
    StateMesh(const StateMesh&) = delete;
    StateMesh& operator=(const StateMesh&) = delete;

    void setSeeds(const std::vector<InstanceId>&);
    /** Dials addresses that are new and forgets old ones. Call a few times a second. */
    void tick();
    /** Dropped while there is no link. */
    void sendToState(const InstanceId&, const Wire::LinkMessage&);
    void sendToStates(const Wire::LinkMessage&);
    void sendToEntry(EntryLinkId, const Wire::LinkMessage&);
    void sendToEntries(const Wire::LinkMessage&);

    const InstanceId& self() const;
    /** State instances with a link open for sending. */
    std::set<InstanceId> reachable() const;
    /** All that are known, this one left out. */
    std::set<InstanceId> known() const;
    std::size_t entryLinks() const;
    std::vector<Wire::StateAddress> addresses() const;

private:
    struct State;

    std::shared_ptr<State> m_state;
};

/** The addresses of a frame. */
std::vector<StateAddress> fromWire(const std::vector<Wire::StateAddress>&);

} // namespace HickoryHollow
