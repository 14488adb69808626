/** \file
 * What one hickoryhollowd process learns from its own settings file: addresses, peers, data folder, limits.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "settings/Complaint.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace HickoryHollow {

/** Another instance, as written in a `[peer NAME]` section. */
struct PeerSettings {
    InstanceId instance;
    FailureDomainId failureDomain;
    std::string address; ///< `ip:port` of its peer listener.
    bool keepsState = false; ///< It has a data folder and takes part in agreement.
};

/** Parts of the policy that a measurement replaces or switches off; the defaults are the product. */
struct ExperimentSettings {
    std::string choice = "estimated"; ///< Name of the policy that picks a backend server.
    bool tiers = true;
    bool shortReserve = true;
    bool earlyRefusal = true;
    bool stragglers = true;
    bool repeatsYield = true;
    bool peerPressure = true;
};

struct DaemonSettings {
    InstanceId instance;
    FailureDomainId failureDomain;
    unsigned threads = 4;

    std::string callerListen; ///< Callers' HTTP.
    std::string backendListen; ///< Announcements of backend servers.
    std::string operatorListen; ///< hickoryctl, health of the process, dump.
    std::string peerListen; ///< Other instances.

    std::string operatorKeySha256;
    std::string backendKeySha256; ///< Empty: announcements need no key.
    std::string peerKey; ///< Shared secret of the instances; never printed.

    std::string dataFolder; ///< Empty where the instance keeps no state.
    std::string inventoryFile; ///< Used until a replicated inventory is in force, and alone where there are no peers.
    std::string rulesFile;

    std::size_t maxHeaderBytes = 16UL * 1024;
    std::size_t maxBodyBytes = 8UL * 1024 * 1024;
    std::size_t maxConnections = 20'000;
    Duration idleTimeout = std::chrono::seconds(60);
    Duration slowReaderTimeout = std::chrono::seconds(20);
    Duration drainLimit = std::chrono::seconds(120);

    std::vector<PeerSettings> peers;
    ExperimentSettings experiment;

    bool keepsState() const { return !dataFolder.empty(); }
};

/** Reads the daemon's settings; returns nothing and at least one complaint when they are not whole. */
std::optional<DaemonSettings> parseDaemonSettings(const std::string& file, std::string_view text, Complaints&);

} // namespace HickoryHollow
