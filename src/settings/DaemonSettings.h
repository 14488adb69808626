/** \file
 * Settings of one hickoryhollowd process, read from its own file: listen addresses, peers, keys, data folder, limits.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "settings/Diagnostic.h"

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
    bool keepsState = false; ///< The peer has a data folder and is a member of the consensus group.
};

/** Scheduling features that a benchmark replaces or disables, from `[experiment]`. Defaults are the production policy. */
struct ExperimentSettings {
    std::string choice = "estimated"; ///< Policy that selects a backend server.
    bool tiers = true; ///< Queues by tier; off: one queue in order of arrival.
    bool shortReserve = true; ///< Keeps slots free of long classes.
    bool earlyRefusal = true; ///< Refuses requests that are predicted to miss their deadline.
    bool stragglers = true; ///< Ejects slow backend servers.
    bool repeatsYield = true; ///< Starts repeats after first attempts of the same tier.
    bool peerPressure = true; ///< Leaves a freed slot to a higher tier that waits at another instance.
};

struct DaemonSettings {
    InstanceId instance;
    FailureDomainId failureDomain;
    unsigned threads = 4; ///< Threads that run event loops.

    // Listen addresses, each `ip:port`.
    std::string callerListen; ///< HTTP requests of callers.
    std::string backendListen; ///< Announcements of backend servers.
    std::string operatorListen; ///< hickoryctl, process health and state dump.
    std::string peerListen; ///< Connections from other instances; empty without peers.

    std::string operatorKeySha256; ///< Lower-case hexadecimal SHA-256 digest of the operators' bearer key.
    std::string backendKeySha256; ///< The same for backend servers; empty if announcements need no key.
    std::string peerKey; ///< Secret shared by all instances; never printed.

    std::string dataFolder; ///< Directory of the durable state; empty if the instance keeps no state.
    std::string inventoryFile; ///< Set only if no instance keeps state; otherwise the inventory is replicated.
    std::string rulesFile; ///< Set if and only if `inventoryFile` is.

    // Limits of each listener.
    std::size_t maxHeaderBytes = 16UL * 1024;
    std::size_t maxBodyBytes = 8UL * 1024 * 1024; ///< Only for callers.
    std::size_t maxConnections = 20'000;
    std::size_t memoryMb = 1024; ///< Memory that the process may use, in units of 10^6 bytes; bounds the bodies held at once.
    Duration idleTimeout = std::chrono::seconds(60); ///< Also bounds the time to receive a request header.
    Duration slowReaderTimeout = std::chrono::seconds(20); ///< For the peer to accept one write of a response.
    Duration drainTimeout = std::chrono::seconds(120); ///< Running requests are aborted after this time.

    std::vector<PeerSettings> peers;
    ExperimentSettings experiment;

    bool keepsState() const { return !dataFolder.empty(); }
};

/** Parses and checks the daemon's settings. Returns nothing and adds at least one diagnostic if they are invalid. */
std::optional<DaemonSettings> parseDaemonSettings(const std::string& file, std::string_view text, Diagnostics&);

} // namespace HickoryHollow
