/** \file
 * Stand-in for the platform: fills in the settings template of the deploy file, starts one process for each machine with the
 * deploy file's command, stops them, and asks their readiness. Each machine has a loopback address of its own, and ports are the
 * same on all machines.
 */
#pragma once

#include "Http.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>

namespace Review {

constexpr int controlPort = 8229;
constexpr int callerPort = 8227;
constexpr int readyPort = 8220;
constexpr int firstLinkPort = 7340;
constexpr int serverPort = 8080;
constexpr rlim_t maxDescriptors = 4100; ///< `max-fds` of the sheet, which limits each process.

/** Values of `bounds` and `limits` of a settings file; those of the sheet of zema-addis. */
struct Bounds {
    double graceSeconds = 8;
    int revokeMs = 5000;
    int heartbeatMs = 1200;
    std::string retryRatio = "0.2";
    std::string retrySlack = "56";
    std::string retryWindowSeconds = "10";
    std::string retryAfterSeconds = "8.1";
};

class Deployment {
public:
    struct Options {
        int states = 3;
        int entries = 1;
        int toleratedLosses = 1;
        Bounds bounds;
    };

    Deployment(Options options, Record& record)
        : m_options(options)
        , m_record(record)
    {
        char folder[] = "/tmp/hickory-review-XXXXXX";
        m_folder = ::mkdtemp(folder);
        const auto number = static_cast<int>(::getpid());
        m_network = "127." + std::to_string(64 + number % 60) + "." + std::to_string(1 + number / 60 % 250) + ".";
        m_serverNetwork = "127." + std::to_string(124 + number % 60) + ".";
    }
    ~Deployment()
    {
        stopAll();
        std::error_code ec;
        std::filesystem::remove_all(m_folder, ec);
    }
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    std::string stateName(int i) const { return "state-" + std::to_string(i); }
    std::string entryName(int i) const { return "entry-" + std::to_string(i); }
    Address controlAddress(int i) const { return { machineIp(stateName(i)), controlPort }; }
    Address callerAddress(int i) const { return { machineIp(entryName(i)), callerPort }; }
    Address readyAddress(int i) const { return { machineIp(entryName(i)), readyPort }; }
    /** Address of a server; each start of a server may have one of its own. */
    Address serverAddress(int i) const { return { m_serverNetwork + std::to_string(i / 200) + "." + std::to_string(1 + i % 200), serverPort }; }
    const std::filesystem::path& folder() const { return m_folder; }

    /** Starts all machines with empty disks. */
    void startAll()
    {
        for (int i = 0; i < m_options.states; ++i)
            start(stateName(i), true);
        for (int i = 0; i < m_options.entries; ++i)
            start(entryName(i), true);
    }

    void start(const std::string& name, bool isFirstStart = false)
    {
        const auto settings = m_folder / (name + ".settings");
        std::ofstream(settings) << render(readFile("platform/daemon.ini"), settingsOf(name, isFirstStart));
        const auto log = m_folder / (name + ".log");
        const auto pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with this program, however that ends.
            const auto fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(fd, STDOUT_FILENO);
            ::dup2(fd, STDERR_FILENO);
            const rlimit descriptors { .rlim_cur = maxDescriptors, .rlim_max = maxDescriptors };
            ::setrlimit(RLIMIT_NOFILE, &descriptors);
            ::setenv("HICKORYHOLLOW_CONFIG", settings.c_str(), 1);
            // The command of the deploy file, with the settings of this machine.
            ::execl("target/platform/hickoryhollowd-platform", "target/platform/hickoryhollowd-platform", settings.c_str(), nullptr);
            ::_exit(127);
        }
        m_pids[name] = pid;
        m_record.line("%s starts", name.c_str());
    }

    pid_t pid(const std::string& name) const
    {
        const auto it = m_pids.find(name);
        return it == m_pids.end() ? 0 : it->second;
    }

    void signal(const std::string& name, int number)
    {
        if (pid(name) > 0)
            ::kill(pid(name), number);
        m_record.line("%s gets signal %d", name.c_str(), number);
    }

    /** Returns true, once, if the process has ended. */
    bool hasEnded(const std::string& name)
    {
        int status = 0;
        if (pid(name) <= 0 || ::waitpid(pid(name), &status, WNOHANG) <= 0)
            return false;
        m_record.line("%s has ended, %s %d", name.c_str(), WIFSIGNALED(status) ? "signal" : "exit code", WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
        m_pids[name] = 0;
        return true;
    }

    void stopAll()
    {
        for (auto& [name, pid] : m_pids) {
            if (pid <= 0)
                continue;
            ::kill(pid, SIGCONT);
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
            pid = 0;
        }
    }

    /** Resident memory of the process in MB; 0 if it does not run. */
    double residentMb(const std::string& name) const
    {
        std::ifstream file("/proc/" + std::to_string(pid(name)) + "/statm");
        long total = 0;
        long resident = 0;
        file >> total >> resident;
        return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
    }

    /** Number of open descriptors of the process. */
    std::size_t openDescriptors(const std::string& name) const
    {
        std::error_code ec;
        const std::filesystem::directory_iterator files("/proc/" + std::to_string(pid(name)) + "/fd", ec);
        return ec ? 0 : static_cast<std::size_t>(std::distance(begin(files), end(files)));
    }

    /** Answer of the machine's readiness: a status, or 0. */
    int readiness(int entry) const
    {
        const auto socket = connectTo(readyAddress(entry));
        MessageReader reader;
        if (!socket.isOpen() || !socket.send("GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"))
            return 0;
        const auto answer = reader.read(socket, Clock::now() + Milliseconds(1000));
        return answer ? answer->status() : 0;
    }

    bool awaitReady(int entry, Milliseconds timeout)
    {
        for (const auto end = Clock::now() + timeout; Clock::now() < end; std::this_thread::sleep_for(Milliseconds(100))) {
            if (readiness(entry) == 200)
                return true;
        }
        return false;
    }

    /** One call of the control address of any state machine, until one gives a 2xx answer or the time is over. */
    bool callControl(const std::string& method, const std::string& path, const std::string& body, Milliseconds timeout, std::string* answerBody = nullptr)
    {
        auto i = 0;
        for (const auto end = Clock::now() + timeout; Clock::now() < end; ++i) {
            const auto socket = connectTo(controlAddress(i % m_options.states));
            MessageReader reader;
            const auto request = method + " " + path + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            if (socket.isOpen() && socket.send(request)) {
                const auto answer = reader.read(socket, Clock::now() + Milliseconds(1000));
                if (answer && answer->status() / 100 == 2) {
                    if (answerBody)
                        *answerBody = answer->body;
                    return true;
                }
            }
            std::this_thread::sleep_for(Milliseconds(100));
        }
        return false;
    }

private:
    using Values = std::map<std::string, std::string>;

    std::string machineIp(const std::string& name) const
    {
        const auto number = std::atoi(name.c_str() + name.find('-') + 1);
        return m_network + std::to_string((name.starts_with("state") ? 10 : 40) + number);
    }

    static std::string readFile(const std::string& name)
    {
        std::ifstream file(name);
        std::stringstream text;
        text << file.rdbuf();
        return text.str();
    }

    Values settingsOf(const std::string& name, bool isFirstStart) const
    {
        const auto& bounds = m_options.bounds;
        const auto ip = machineIp(name);
        Values values { { "node-name", name }, { "zone", "zone-a" }, { "ip", ip }, { "port-range.0", std::to_string(firstLinkPort) }, { "bootstrap", isFirstStart ? "true" : "false" },
            { "fault-tolerance.machines", std::to_string(m_options.toleratedLosses) }, { "heartbeat-ms", std::to_string(bounds.heartbeatMs) }, { "bounds.grace-s", std::to_string(bounds.graceSeconds) },
            { "bounds.revoke-ms", std::to_string(bounds.revokeMs) }, { "bounds.retry-ratio", bounds.retryRatio }, { "bounds.retry-slack", bounds.retrySlack },
            { "bounds.retry-window-s", bounds.retryWindowSeconds }, { "bounds.retry-after-s", bounds.retryAfterSeconds } };
        for (int i = 0; i < std::min(m_options.states, 3); ++i)
            values["seeds"] += (i > 0 ? "," : "") + controlAddress(i).text();
        if (name.starts_with("state")) {
            values["data-dir"] = (m_folder / (name + ".data")).string();
            values["listen.control"] = ip + ":" + std::to_string(controlPort);
        } else {
            values["listen.frontend-addr"] = ip + ":" + std::to_string(callerPort);
            values["listen.ready-addr"] = ip + ":" + std::to_string(readyPort);
        }
        return values;
    }

    /** The two forms of placeholders that the project's template uses: a value, and a section for a value that is present. */
    static std::string render(const std::string& text, const Values& values)
    {
        std::string result;
        std::size_t at = 0;
        for (;;) {
            const auto open = text.find("{{", at);
            result += text.substr(at, open == std::string::npos ? open : open - at);
            if (open == std::string::npos)
                return result;
            const auto close = text.find("}}", open);
            const auto word = text.substr(open + 2, close - open - 2);
            at = close + 2;
            if (!word.starts_with("#")) {
                const auto it = values.find(word);
                result += it == values.end() ? "" : it->second;
                continue;
            }
            const auto end = text.find("{{/" + word.substr(1) + "}}", at);
            if (values.contains(word.substr(1)))
                result += render(text.substr(at, end - at), values);
            at = end + word.size() + 4;
        }
    }

    Options m_options;
    Record& m_record;
    std::filesystem::path m_folder;
    std::string m_network; ///< First three numbers of the machines' addresses.
    std::string m_serverNetwork; ///< First two numbers of the servers' addresses.
    std::map<std::string, pid_t> m_pids;
};

} // namespace Review
