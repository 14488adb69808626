/** \file
 * The deployment under test: state and entry instances as processes, relays before all that they listen on, backend servers.
 * Each instance has loopback addresses of its own.
 */
#pragma once

#include "soak/Backend.h"
#include "soak/Process.h"
#include "soak/Proxy.h"

#include <boost/asio/executor_work_guard.hpp>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace HickoryHollow::Soak {

class Fleet {
public:
    struct Options {
        std::string program;
        std::filesystem::path folder; ///< Emptied first.
        int states = 5;
        int entries = 4;
        int backends = 4;
        std::uint64_t seed = 1;
    };

    Fleet(Options, Record&);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    /** State instances come first, then entry instances. */
    Process& process(int number) { return *m_processes.at(static_cast<std::size_t>(number)); }
    int processes() const { return static_cast<int>(m_processes.size()); }
    bool keepsState(int number) const { return number < m_options.states; }
    /** Starts it again; from then on it is no first start. */
    void restart(int number);
    /** A state instance's disk is lost; it must not run. */
    void wipe(int number) const;
    /** Relays before links, control, callers and backend servers. */
    std::vector<std::pair<std::string, Proxy*>> relays();
    Backend& backend(int number) { return *m_backends.at(static_cast<std::size_t>(number)); }

    std::string controlAddress(int state) const;
    std::string callerAddress(int entry) const;
    const Options& options() const { return m_options; }

private:
    void writeSettings(int number, bool isFirstStart) const;

    Options m_options;
    boost::asio::io_context m_loop { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work { m_loop.get_executor() };
    std::vector<std::pair<std::string, std::unique_ptr<Proxy>>> m_relays;
    std::thread m_thread;
    std::vector<std::unique_ptr<Backend>> m_backends;
    std::vector<std::unique_ptr<Process>> m_processes;
};

} // namespace HickoryHollow::Soak
