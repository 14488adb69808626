/** \file
 * Cooperation with the peer instances. A cluster owns the peer connections and, where the instance keeps state, the node
 * of the replicated state. It keeps the active settings and their lease up to date, and exchanges backend server records
 * and load reports with the peers.
 */
#pragma once

#include "base/Ids.h"
#include "cluster/ReplicatedStores.h"
#include "cluster/StateClient.h"
#include "entry/ActiveSettings.h"
#include "scheduling/PeerLoad.h"
#include "settings/DaemonSettings.h"

#include <boost/json/value.hpp>
#include <functional>
#include <memory>

namespace HickoryHollow::Wire {
class PeerMessage;
}

namespace HickoryHollow {

class Dispatcher;
class FleetView;
class PeerMesh;
class StateNode;

class Cluster {
public:
    struct Options {
        asio::io_context& loop;
        const DaemonSettings& settings;
        Incarnation incarnation;
        FleetView& fleet;
        Dispatcher& dispatcher;
        ActiveSettings& activeSettings;
        /** Called on `loop` with each newer version. */
        std::function<void(std::shared_ptr<const RoutingSettings>)> applySettings;
    };

    /** Opens the data folder and the peer listener; throws UserError. Objects that the options refer to must outlive it. */
    explicit Cluster(Options);
    ~Cluster();
    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;

    /** Starts polling for settings and reporting to the peers. Call once. */
    void start();
    /** Ends the node's thread, which posts to `loop`. Call it when the loop runs no more. */
    void stop();
    IdempotencyLedger& ledger() { return m_ledger; }
    SettingsStore& settingsStore() { return m_settingsStore; }
    /** Forms the replicated state of a new deployment. Blocks. Returns why it cannot be formed, or an empty string. */
    std::string formState();
    /** Diagnostic state for the operator's dump. Blocks. */
    boost::json::value dump() const;

private:
    using Respond = std::function<void(const Wire::Reply&)>;

    void handleMessage(const InstanceId& from, const Wire::PeerMessage&);
    void sendRequest(const InstanceId& to, const Wire::Request&);
    void serveRequest(const Wire::Request&, const Respond&);
    Task<void> settingsLoop();
    Task<void> fleetLoop();
    Task<void> refreshSettings();
    void sendFleetUpdate(bool withLoads);
    void broadcastLocalLoad();
    /** Sends what this instance observed of requests that crash servers to the other instances. */
    void broadcastPromptEvidence();
    void sendAllRecords(const InstanceId&);
    void broadcast(const Wire::PeerMessage&);

    Options m_options;
    StateClient m_client;
    ReplicatedLedger m_ledger;
    ReplicatedSettingsStore m_settingsStore;
    std::unique_ptr<PeerMesh> m_mesh; // Null if there are no peers.
    std::unique_ptr<StateNode> m_node; // Null if this instance keeps no state.
    bool m_hadLease = false; // Whether the settings lease was valid at the last check.
    PeerLoad m_lastSentLoad; // Local load in the last broadcast.
    TimePoint m_lastSentLoadAt {};
};

} // namespace HickoryHollow
