/** \file
 * The part of an instance that acts together with the others: links, replicated state, settings in force, and news of
 * backend servers.
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
        ActiveSettings& inForce;
        std::function<void(std::shared_ptr<const RoutingSettings>)> applySettings;
    };

    /** Opens the data folder and the listener of peers; throws UserError. */
    explicit Cluster(Options);
    ~Cluster();
    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;

    /** Starts polling for settings and telling news. */
    void start();
    IdempotencyLedger& ledger() { return m_ledger; }
    SettingsStore& settingsStore() { return m_settingsStore; }
    std::string formState();
    boost::json::value dump() const;

private:
    using Respond = std::function<void(const Wire::Reply&)>;

    void takeMessage(const InstanceId& from, const Wire::PeerMessage&);
    void sendRequest(const InstanceId& to, const Wire::Request&);
    void serveRequest(const Wire::Request&, const Respond&);
    Task<void> settingsLoop();
    Task<void> fleetLoop();
    Task<void> followSettings();
    void tellNews(bool withLoads);
    void tellOwnLoad();
    void greet(const InstanceId&);
    void broadcast(const Wire::PeerMessage&);

    Options m_options;
    StateClient m_client;
    ReplicatedLedger m_ledger;
    ReplicatedSettingsStore m_settingsStore;
    std::unique_ptr<PeerMesh> m_mesh; // Null where there are no peers.
    std::unique_ptr<StateNode> m_node; // Null where this instance keeps no state.
    bool m_hadLease = false;
    PeerLoad m_toldLoad; // As the others heard it last.
    TimePoint m_toldLoadAt {};
};

} // namespace HickoryHollow
