/** \file
 * The deployment under test on loopback: state and entry instances as processes, backend servers, and a fault-injecting
 * proxy in front of each listener that other parties connect to. Each instance has addresses of its own.
 */
#pragma once

#include "soak/Backend.h"
#include "soak/FaultProxy.h"
#include "soak/Process.h"

#include <boost/asio/executor_work_guard.hpp>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace HickoryHollow::Soak {

class Deployment {
public:
    struct Options {
        std::string program; ///< Path of the daemon.
        std::filesystem::path folder; ///< Takes settings, data and logs; its former contents are deleted.
        int states = 5; ///< Number of state instances.
        int entries = 4; ///< Number of entry instances.
        int backends = 4; ///< Number of backend servers.
        std::uint64_t seed = 1; ///< Seed of the backend servers' random failures.
        int network = 20; ///< The addresses are in 127.network and the network after it, so that several soaks can run.
    };

    /** Starts all instances and backend servers. */
    Deployment(Options, GuaranteeChecker&);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    /** Process of an instance by its number. The state instances have the first numbers, the entry instances the next. */
    Process& process(int number) { return *m_processes.at(static_cast<std::size_t>(number)); }
    int processCount() const { return static_cast<int>(m_processes.size()); }
    /** Returns whether this is the number of a state instance. */
    bool keepsState(int number) const { return number < m_options.states; }
    /** Starts an instance that has exited; its settings then no longer declare a first start. */
    void restart(int number);
    /** Deletes the data folder of a state instance, which must not be running. */
    void wipeDisk(int number) const;
    /** Names and proxies of all link, control, caller and backend server listeners. */
    std::vector<std::pair<std::string, FaultProxy*>> proxies();
    /** Number of entry instances whose links to the backend servers can be cut; they have the first numbers. */
    int pathCount() const { return static_cast<int>(m_paths.size()); }
    /** Sets a fault of the links from one entry instance, counted from 0, to all backend servers; LinkFault::None ends it. */
    void setServerLinks(int entry, LinkFault);
    /** Returns whether the entry instance has ever reached a backend server through its own links. */
    bool usesServerLinks(int entry) const;
    Backend& backend(int number) { return *m_backends.at(static_cast<std::size_t>(number)); }

    /** Address of a state instance's control listener, through its proxy. */
    std::string controlAddress(int state) const;
    /** Address of an entry instance's caller listener, through its proxy; `entry` counts entry instances from 0. */
    std::string callerAddress(int entry) const;
    /** Address of the same listener without a proxy, whose buffers would hide a slow reader. */
    std::string directCallerAddress(int entry) const;
    /** Address at which an entry instance takes requests that other instances pass on. */
    std::string linkAddress(int entry) const;
    const Options& options() const { return m_options; }

private:
    /** Address that other parties connect to; the proxy in front of the listener listens there. */
    std::string advertisedAddress(int number, int port) const;
    /** Address that the instance or backend server itself listens on. */
    std::string boundAddress(int number, int port) const;
    /** First three numbers of the addresses at which an entry instance with links of its own reaches the backend servers. */
    std::string pathNetwork(int entry) const;
    std::vector<std::string> environmentFor(int number) const;
    void writeSettings(int number, bool isFirstStart) const;

    Options m_options;
    boost::asio::io_context m_loop { 1 }; // Runs the proxies.
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard { m_loop.get_executor() };
    std::vector<std::pair<std::string, std::unique_ptr<FaultProxy>>> m_proxies;
    std::vector<std::vector<std::unique_ptr<FaultProxy>>> m_paths; // By entry instance and backend server, in front of its proxy.
    std::thread m_thread;
    std::vector<std::unique_ptr<Backend>> m_backends;
    std::vector<std::unique_ptr<Process>> m_processes;
};

} // namespace HickoryHollow::Soak
