/** \file
 * A state instance, entry instances and the servers of one service on loopback, for tests that hold the lock `loopback`.
 */
#pragma once

#include "http/HttpHandler.h"
#include "http/HttpServer.h"
#include "net/EventLoops.h"
#include "test/fakes/RunningInstance.h"

#include <memory>
#include <string>
#include <vector>

namespace HickoryHollow::Fakes {

class LoopbackDeployment {
public:
    struct Options {
        std::string name; ///< Part of the names of files; unique among the tests.
        int firstPort = 0; ///< Of forty ports that no other test uses.
        std::string configuration; ///< Routes to the service `s`.
        std::vector<HttpHandler*> servers; ///< Each on a port of its own. They outlive the deployment.
        int entries = 2;
        std::vector<std::string> versions = {}; ///< Of the servers' software; `v1` for those beyond.
        std::string drainSeconds = "0.8"; ///< Time that a stop may take.
    };

    /** Starts all processes, submits the configuration and announces the servers. */
    explicit LoopbackDeployment(Options options)
        : m_options(std::move(options))
        , m_folder(std::filesystem::temp_directory_path() / ("hickory-" + m_options.name + "-" + std::to_string(::getpid()) + "-data"))
    {
        std::filesystem::create_directories(m_folder);
        for (std::size_t i = 0; i < m_options.servers.size(); ++i)
            m_listeners.push_back(std::make_unique<HttpServer>(m_loops, *m_options.servers[i], HttpServerOptions { .address = serverAddress(i) }));
        m_thread = std::thread([this] { m_loops.run(); });
        startState();
        for (int i = 0; i < m_options.entries; ++i)
            addEntry();
        submit(m_options.configuration);
        announceServers();
    }
    ~LoopbackDeployment()
    {
        m_entries.clear();
        m_state.reset();
        m_loops.stop();
        m_thread.join();
        std::filesystem::remove_all(m_folder);
    }
    LoopbackDeployment(const LoopbackDeployment&) = delete;
    LoopbackDeployment& operator=(const LoopbackDeployment&) = delete;

    void addEntry() { m_entries.push_back(startEntry(static_cast<int>(m_entries.size()))); }

    /** Ends the state instance, and starts it again with its data folder. */
    void restartState()
    {
        m_state.reset();
        startState();
    }

    /** Ends all entry instances, and starts them again once none is left. */
    void restartEntries()
    {
        for (auto& it : m_entries)
            it.reset();
        for (std::size_t i = 0; i < m_entries.size(); ++i)
            m_entries[i] = startEntry(static_cast<int>(i));
    }

    /** Submits a configuration as an operator, and repeats it until it is accepted. */
    void submit(const std::string& configuration) const
    {
        Answer submitted;
        for (int i = 0; i < 20 && submitted.status != 200; ++i)
            submitted = call(controlPort(), boost::beast::http::verb::post, "/config/replace", configuration);
        REQUIRE(submitted.status == 200);
    }

    /** Announces the servers, which a state instance that starts does not know. */
    void announceServers() const
    {
        for (std::size_t i = 0; i < m_options.servers.size(); ++i) {
            const auto report = R"({"service":"s","address":")" + serverAddress(i) + R"(","zone":"a","version":")" + (i < m_options.versions.size() ? m_options.versions[i] : "v1") + R"(","slots":4,"state":"ready","cold-left-ms":0,"seq":1,"born":17})";
            REQUIRE(call(controlPort(), boost::beast::http::verb::post, "/instances/i-" + std::to_string(i) + "/heartbeat", report).status == 200);
        }
    }

    /** Asks each entry instance without a key until it answers with that status. */
    void awaitStatus(const std::string& path, unsigned status) const
    {
        constexpr int maxTries = 5000;
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
            unsigned last = 0;
            for (int i = 0; i < maxTries && last != status; ++i)
                last = ask(static_cast<int>(entry), path, "plate", "").status;
            REQUIRE(last == status);
        }
    }

    /** Tells an entry instance to stop. */
    void drainEntry(int entry) { m_entries[static_cast<std::size_t>(entry)]->requestDrain(); }

    /** Stops an entry instance and waits for its end. Returns the number of requests that the end cut off. */
    std::size_t stopEntry(int entry)
    {
        const auto instance = std::move(m_entries[static_cast<std::size_t>(entry)]);
        return instance->stop();
    }

    std::string serverAddress(std::size_t number) const { return address(m_options.firstPort + 20 + static_cast<int>(number)); }
    /** Port of the state instance for operators and servers. */
    int controlPort() const { return m_options.firstPort + 1; }
    /** Port of an entry instance for callers. */
    int entryPort(int number) const { return m_options.firstPort + 2 + 3 * number; }

    /** Sends a request to an entry instance. */
    Answer ask(int entry, const std::string& path, const std::string& body, const std::string& key = "good-key", const HttpFields& fields = {}) const
    {
        return call(entryPort(entry), boost::beast::http::verb::post, path, body, key, fields);
    }

private:
    void startState()
    {
        m_state = std::make_unique<RunningInstance>("[instance]\nname = s1\nfailure-domain = a\ndata-folder = " + m_folder.string() + "\n[listen]\nlinks = " + address(linkPort()) + "\ncontrol = " + address(controlPort()) + "\n" + commonSettings(), "-" + m_options.name + "-state.ini");
    }

    std::unique_ptr<RunningInstance> startEntry(int number) const
    {
        const auto name = "e" + std::to_string(number);
        const auto port = entryPort(number);
        return std::make_unique<RunningInstance>("[instance]\nname = " + name + "\nfailure-domain = a\n[listen]\nlinks = " + address(port + 2) + "\ncallers = " + address(port) + "\nready = " + address(port + 1) + "\n" + commonSettings(), "-" + m_options.name + "-" + name + ".ini");
    }

    static std::string address(int port) { return "127.0.0.1:" + std::to_string(port); }
    int linkPort() const { return m_options.firstPort; }

    std::string commonSettings() const
    {
        return "[membership]\nseeds = " + address(controlPort()) + "\nseed-port = " + std::to_string(linkPort()) + "\nfirst-start = true\nbearable-losses = 0\n[bounds]\ndrain-s = " + m_options.drainSeconds + "\nkey-lease-ms = 5000\nannounce-ms = 20000\n";
    }

    Options m_options;
    std::filesystem::path m_folder;
    EventLoops m_loops { 1 };
    std::vector<std::unique_ptr<HttpServer>> m_listeners;
    std::thread m_thread;
    std::unique_ptr<RunningInstance> m_state;
    std::vector<std::unique_ptr<RunningInstance>> m_entries;
};

} // namespace HickoryHollow::Fakes
