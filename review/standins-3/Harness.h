/** \file
 * What the scripts of this review share: the project's processes on loopback addresses with the settings of a small deployment, a
 * platform that keeps their memory limits, backend servers, and an operator and callers over blocking sockets.
 */
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

inline void pause(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

/** The record of a run: what was sent, answered and run, with the time since the start. */
class Record {
public:
    explicit Record(const std::string& file)
        : m_out(file)
    {
    }
    void add(const std::string& line)
    {
        const std::lock_guard lock(m_mutex);
        const auto ms = std::chrono::duration_cast<milliseconds>(Clock::now() - m_start).count();
        m_out << ms << " ms  " << line << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    Clock::time_point m_start = Clock::now();
};

struct Address {
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in toSockaddr(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

/** Splits the head of a message into its first line and its fields, with names in lower case. */
struct Head {
    std::string firstLine;
    std::map<std::string, std::string> fields;
    std::string field(const std::string& name) const
    {
        const auto it = fields.find(name);
        return it == fields.end() ? std::string() : it->second;
    }
};

inline Head parseHead(const std::string& text)
{
    Head head;
    std::istringstream lines(text);
    std::getline(lines, head.firstLine);
    if (!head.firstLine.empty() && head.firstLine.back() == '\r')
        head.firstLine.pop_back();
    std::string line;
    while (std::getline(lines, line) && line != "\r" && !line.empty()) {
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto name = line.substr(0, colon);
        for (auto& it : name)
            it = static_cast<char>(std::tolower(it));
        auto value = line.substr(colon + 1);
        while (!value.empty() && (value.back() == '\r' || value.back() == ' '))
            value.pop_back();
        head.fields[name] = value.substr(std::min(value.size(), value.find_first_not_of(' ')));
    }
    return head;
}

/** A blocking connection with a receive timeout. */
class Connection {
public:
    explicit Connection(int fd)
        : m_fd(fd)
    {
    }
    explicit Connection(const Address& to, int timeoutMs = 5000)
        : m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const timeval time { .tv_sec = timeoutMs / 1000, .tv_usec = timeoutMs % 1000 * 1000 };
        ::setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
        ::setsockopt(m_fd, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
        const int on = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const auto address = toSockaddr(to);
        m_isOpen = ::connect(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    }
    ~Connection() { ::close(m_fd); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    bool isOpen() const { return m_isOpen; }
    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const auto n = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }
    /** Reads up to and with `end`. Returns an empty text at the end of the connection or at the timeout. */
    std::string readUntil(const std::string& end)
    {
        for (;;) {
            const auto at = m_buffer.find(end);
            if (at != std::string::npos)
                return take(at + end.size());
            if (!fill())
                return {};
        }
    }
    bool readBytes(std::size_t n, std::string& bytes)
    {
        while (m_buffer.size() < n) {
            if (!fill())
                return false;
        }
        bytes += take(n);
        return true;
    }
    /** All that comes within the time. */
    std::string readFor(int ms)
    {
        const timeval time { .tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000 };
        ::setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
        while (fill()) { }
        return std::exchange(m_buffer, {});
    }

private:
    bool fill()
    {
        char bytes[16384];
        const auto n = ::recv(m_fd, bytes, sizeof(bytes), 0);
        if (n <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(n));
        return true;
    }
    std::string take(std::size_t n)
    {
        auto text = m_buffer.substr(0, n);
        m_buffer.erase(0, n);
        return text;
    }

    int m_fd;
    bool m_isOpen = true;
    std::string m_buffer;
};

struct Answer {
    int status = 0; ///< 0 if no whole answer came.
    Head head;
    std::string body;
};

/** Reads one answer with a length or in chunks. */
inline Answer readAnswer(Connection& connection)
{
    Answer answer;
    answer.head = parseHead(connection.readUntil("\r\n\r\n"));
    if (answer.head.firstLine.size() < 12)
        return answer;
    const auto status = std::atoi(answer.head.firstLine.c_str() + 9);
    if (answer.head.field("transfer-encoding") == "chunked") {
        for (;;) {
            const auto size = std::strtoul(connection.readUntil("\r\n").c_str(), nullptr, 16);
            std::string chunk;
            if (!connection.readBytes(size + 2, chunk))
                return answer;
            answer.body += chunk.substr(0, size);
            if (size == 0)
                break;
        }
    } else if (!connection.readBytes(std::strtoul(answer.head.field("content-length").c_str(), nullptr, 10), answer.body)) {
        return answer;
    }
    answer.status = status;
    return answer;
}

inline Answer call(const Address& to, const std::string& requestLine, const std::string& fields, const std::string& body, int timeoutMs = 5000)
{
    Connection connection(to, timeoutMs);
    if (!connection.isOpen() || !connection.send(requestLine + " HTTP/1.1\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body))
        return {};
    return readAnswer(connection);
}

inline std::string newAttemptId()
{
    static std::atomic<std::uint64_t> last { static_cast<std::uint64_t>(::getpid()) << 32U };
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(++last));
    return text;
}

/** The project's processes, and the platform that starts them again and keeps their memory limits. */
class Deployment {
public:
    struct Options {
        std::string root; ///< Of the repository.
        int states = 5;
        int entries = 2;
        std::size_t entryMemoryMb = 110;
        std::size_t stateMemoryMb = 256;
    };

    Deployment(Options options, Record& record)
        : m_options(std::move(options))
        , m_record(record)
    {
        char folder[] = "/tmp/hickory-review-XXXXXX";
        m_folder = ::mkdtemp(folder);
        std::mt19937 random(std::random_device {}());
        // A network of its own, and ports that are free at all of its addresses.
        do {
            m_network = "127." + std::to_string(64 + random() % 128) + "." + std::to_string(random() % 250);
            m_basePort = 20000 + static_cast<int>(random() % 1000) * 10;
        } while (!arePortsFree());
        m_machines.resize(static_cast<std::size_t>(machines()) + 1); // With one spare.
        for (int i = 0; i < m_options.states; ++i)
            m_states.push_back(i);
        for (int i = 0; i < machines(); ++i)
            start(i, true);
        m_platform = std::thread([this] { watch(); });
    }
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    /** Ends all processes and removes their files. */
    void stop()
    {
        m_isOver = true;
        m_platform.join();
        for (auto& it : m_machines) {
            if (it.pid > 0) {
                ::kill(it.pid, SIGCONT);
                ::kill(it.pid, SIGKILL);
                ::waitpid(it.pid, nullptr, 0);
            }
        }
        if (!std::getenv("KEEP"))
            std::filesystem::remove_all(m_folder);
    }

    int machines() const { return m_options.states + m_options.entries; }
    std::string ip(int number) const { return m_network + "." + std::to_string(number + 1); }
    Address links(int number) const { return { ip(number), m_basePort }; }
    Address control(int state) const { return { ip(state), m_basePort + 1 }; }
    Address callers(int entry) const { return { ip(m_options.states + entry), m_basePort + 2 }; }
    Address ready(int entry) const { return { ip(m_options.states + entry), m_basePort + 3 }; }
    Address server(int number) const { return { ip(100 + number), m_basePort + 5 }; }
    const Options& options() const { return m_options; }
    /** Times that the process of a machine has ended by itself, or was killed because it used more memory than its limit. */
    int ends(int number) const { return m_machines[static_cast<std::size_t>(number)].ends; }
    /** Removes a core machine for good. Another one takes its place after a second, at a new address and with an empty disk. */
    void replaceState(int number)
    {
        auto& machine = m_machines[static_cast<std::size_t>(number)];
        machine.isGone = true;
        ::kill(machine.pid, SIGKILL);
        ::waitpid(machine.pid, nullptr, 0);
        machine.pid = 0;
        m_record.add("disruption: core machine n" + std::to_string(number) + " at " + ip(number) + " is gone for good");
        std::erase(m_states, number);
        pause(1000);
        m_states.push_back(machines());
        start(machines(), false);
        m_record.add("platform: core machine n" + std::to_string(machines()) + " at " + ip(machines()) + " takes its place");
    }
    /** The core machines that the operator's list has. */
    const std::vector<int>& states() const { return m_states; }
    std::size_t peakMb(int number) const { return m_machines[static_cast<std::size_t>(number)].peakKb / 1000; }
    bool isReady(int entry) const { return call(ready(entry), "GET /readyz", "Host: ready\r\n", "", 1000).status == 200; }
    bool awaitReady(int seconds) const
    {
        for (const auto end = Clock::now() + std::chrono::seconds(seconds); Clock::now() < end; pause(100)) {
            int n = 0;
            for (int i = 0; i < m_options.entries; ++i)
                n += isReady(i) ? 1 : 0;
            if (n == m_options.entries)
                return true;
        }
        return false;
    }
    /** Sends a desired state, to one machine after the other, until there is a clear answer. Returns its status. */
    int replaceConfig(const std::string& document, int seconds = 20)
    {
        for (const auto end = Clock::now() + std::chrono::seconds(seconds); Clock::now() < end; pause(50)) {
            m_nextState = (m_nextState + 1) % static_cast<int>(m_states.size());
            const auto status = call(control(m_states[static_cast<std::size_t>(m_nextState)]), "POST /config/replace", "Host: control\r\nContent-Type: application/json\r\n", document, 3000).status;
            if (status == 200 || (status >= 400 && status < 500))
                return status;
        }
        return 0;
    }

private:
    struct Machine {
        pid_t pid = 0;
        int ends = 0;
        bool isGone = false;
        std::size_t peakKb = 0;
        Clock::time_point startAt {}; ///< When an ended process is started again.
    };

    bool arePortsFree() const
    {
        for (int i = 0; i < 110; ++i) {
            for (int port = m_basePort; port < m_basePort + 6; ++port) {
                const auto fd = ::socket(AF_INET, SOCK_STREAM, 0);
                const auto address = toSockaddr({ ip(i), port });
                const auto isFree = ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
                ::close(fd);
                if (!isFree)
                    return false;
            }
        }
        return true;
    }

    // platform/daemon.ini, filled in with the fields of a settings file of the small deployment.
    std::string writeSettings(int number, bool isFirstStart) const
    {
        const auto isState = number < m_options.states || number >= machines();
        const auto file = m_folder + "/settings-" + std::to_string(number);
        std::ofstream out(file);
        out << "[instance]\nname = n" << number << "\nfailure-domain = zone-" << number % 3 << "\n";
        if (isState) {
            std::filesystem::create_directories(m_folder + "/data-" + std::to_string(number));
            out << "data-folder = " << m_folder << "/data-" << number << "\n";
        }
        out << "\n[listen]\nlinks = " << links(number).text() << "\nmetrics = " << ip(number) << ":" << m_basePort + 4 << "\n";
        if (isState)
            out << "control = " << control(number).text() << "\n";
        else
            out << "callers = " << callers(number - m_options.states).text() << "\nready = " << ready(number - m_options.states).text() << "\n";
        out << "\n[membership]\nseeds = ";
        for (int i = 0; i < std::min(3, m_options.states); ++i)
            out << (i > 0 ? "," : "") << control(m_states[static_cast<std::size_t>(i)]).text();
        out << "\nseed-port = " << m_basePort << "\nfirst-start = " << (isFirstStart ? "true" : "false") << "\nbearable-losses = " << (m_options.states - 1) / 2
            << "\n\n[limits]\nmemory-mb = " << (isState ? m_options.stateMemoryMb : m_options.entryMemoryMb)
            << "\n\n[bounds]\ndrain-s = 8\nkey-lease-ms = 5000\nconfig-apply-ms = 2000\nannounce-ms = 1200\nserver-drain-ms = 2000\nretry-ratio = 0.2\nretry-slack = 58\nretry-window-s = 10\nretry-after-s = 10\n";
        return file;
    }

    void start(int number, bool isFirstStart)
    {
        const auto settings = writeSettings(number, isFirstStart);
        const auto program = m_options.root + "/target/platform/hickoryhollowd-platform";
        const auto log = m_folder + "/log-" + std::to_string(number);
        const auto variable = "HICKORYHOLLOW_CONFIG=" + settings;
        const auto parent = ::getpid();
        const auto pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent)
                ::_exit(127);
            const auto fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(fd, STDOUT_FILENO);
            ::dup2(fd, STDERR_FILENO);
            ::close_range(STDERR_FILENO + 1, ~0U, 0);
            const char* const environment[] = { "PATH=/usr/bin:/bin", "LANG=C", variable.c_str(), nullptr };
            ::execle(program.c_str(), program.c_str(), settings.c_str(), nullptr, environment);
            ::_exit(127);
        }
        m_machines[static_cast<std::size_t>(number)].pid = pid;
    }

    static std::size_t residentKb(pid_t pid)
    {
        std::ifstream status("/proc/" + std::to_string(pid) + "/status");
        std::string line;
        while (std::getline(status, line)) {
            if (line.starts_with("VmRSS:"))
                return std::strtoul(line.c_str() + 6, nullptr, 10);
        }
        return 0;
    }

    // A process that uses more than its memory is killed; one that has ended is started again after a short delay.
    void watch()
    {
        while (!m_isOver) {
            for (int i = 0; i < machines(); ++i) {
                auto& machine = m_machines[static_cast<std::size_t>(i)];
                const auto limitMb = i < m_options.states ? m_options.stateMemoryMb : m_options.entryMemoryMb;
                if (machine.pid > 0) {
                    const auto kb = residentKb(machine.pid);
                    machine.peakKb = std::max(machine.peakKb, kb);
                    if (kb > limitMb * 1000) {
                        m_record.add("platform: the process of machine n" + std::to_string(i) + " uses " + std::to_string(kb / 1000) + " MB of " + std::to_string(limitMb) + " MB and is killed");
                        ::kill(machine.pid, SIGKILL);
                    }
                    int status = 0;
                    if (::waitpid(machine.pid, &status, kb > limitMb * 1000 ? 0 : WNOHANG) == machine.pid) {
                        m_record.add("platform: the process of machine n" + std::to_string(i) + " has ended, status " + std::to_string(status));
                        machine.pid = 0;
                        machine.startAt = Clock::now() + milliseconds(500);
                        ++machine.ends;
                    }
                } else if (!machine.isGone && Clock::now() >= machine.startAt) {
                    start(i, false);
                }
            }
            pause(10);
        }
    }

    Options m_options;
    Record& m_record;
    std::string m_folder;
    std::string m_network;
    int m_basePort = 0;
    int m_nextState = 0;
    std::vector<int> m_states;
    std::vector<Machine> m_machines;
    std::atomic<bool> m_isOver = false;
    std::thread m_platform;
};

/** What a start of a server is known by; the defaults are those of a server outside of updates. */
struct ServerStart {
    std::string id; ///< Empty for a new one.
    std::string version = "v1"; ///< Of its software.
    int reportDelayMs = 0; ///< Its status reports arrive so much late.
};

/** A sound backend server: announces itself, and answers requests with its seal, until it crashes. */
class Server {
public:
    /** How an engine streams; a longer stream takes its time. */
    struct Stream {
        int events = 3;
        int pauseMs = 0; ///< Before each event but the first.
    };

    struct Request {
        std::string method;
        std::string target;
        Head head;
        std::string body;
    };
    using OnRun = std::function<void(const Server&, const Request&)>;

    /** `onRun` is called for each request that the server runs. */
    Server(const Deployment& deployment, int number, std::string service, bool isEngine, OnRun onRun = {}, ServerStart start = {})
        : m_deployment(deployment)
        , m_address(deployment.server(number))
        , m_service(std::move(service))
        , m_isEngine(isEngine)
        , m_onRun(std::move(onRun))
        , m_start(std::move(start))
        , m_id(m_start.id.empty() ? "i-" + std::to_string(number) + "-" + newAttemptId() : m_start.id)
        , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const auto address = toSockaddr(m_address);
        if (::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 || ::listen(m_listener, 256) != 0)
            std::exit(exitNotRun);
        std::thread([this] { accept(); }).detach();
        std::thread([this] { announce(); }).detach();
    }

    const std::string& id() const { return m_id; }
    const std::string& service() const { return m_service; }
    void setStream(Stream stream) { m_stream = stream; }
    /** Requests that are being answered. */
    int active() const { return m_active; }
    /** Ends like a process that is killed: its listener and all connections close, and it says nothing any more. */
    void crash()
    {
        const std::lock_guard lock(m_mutex);
        m_hasCrashed = true;
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        for (const auto fd : m_connections)
            ::shutdown(fd, SHUT_RDWR);
    }

private:
    void announce()
    {
        const auto born = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        pause(m_start.reportDelayMs);
        for (std::uint64_t sequence = 1; !m_hasCrashed; ++sequence) {
            std::string report = "{\"service\":\"" + m_service + "\",\"address\":\"" + m_address.text() + "\",\"zone\":\"zone-0\",\"version\":\"" + m_start.version + "\",\"slots\":" + (m_isEngine ? "64" : "6")
                + ",\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":" + std::to_string(sequence) + ",\"born\":" + std::to_string(born);
            report += m_isEngine ? ",\"phase\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]}" : "}";
            const auto states = m_deployment.states();
            for (std::size_t i = 0; i < states.size(); ++i) {
                const auto state = states[(i + sequence) % states.size()];
                if (call(m_deployment.control(state), "POST /instances/" + m_id + "/heartbeat", "Host: control\r\nContent-Type: application/json\r\n", report, 1000).status == 200)
                    break;
            }
            pause(sequence < 4 ? 300 : 1200);
        }
    }

    void accept()
    {
        for (;;) {
            const auto fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            const std::lock_guard lock(m_mutex);
            if (m_hasCrashed)
                return;
            if (fd < 0)
                continue;
            m_connections.insert(fd);
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        Connection connection(fd);
        serveRequests(connection);
        const std::lock_guard lock(m_mutex);
        m_connections.erase(fd); // Before it is closed.
    }

    void serveRequests(Connection& connection)
    {
        for (;;) {
            Request request;
            request.head = parseHead(connection.readUntil("\r\n\r\n"));
            std::istringstream(request.head.firstLine) >> request.method >> request.target;
            if (request.method.empty())
                return;
            if (!connection.readBytes(std::strtoul(request.head.field("content-length").c_str(), nullptr, 10), request.body))
                return;
            ++m_active;
            const auto isSent = m_isEngine && m_stream.load().pauseMs > 0 && request.target != "/healthz" ? sendStream(connection, request) : connection.send(answer(request));
            --m_active;
            if (!isSent)
                return;
        }
    }

    bool sendStream(Connection& connection, const Request& request)
    {
        const auto whole = answer(request);
        const auto stream = m_stream.load();
        // The head, and then one event after the other; each is a chunk.
        auto at = whole.find("\r\n\r\n") + 4;
        if (!connection.send(whole.substr(0, at)))
            return false;
        while (at < whole.size()) {
            const auto end = whole.find("\n\n\r\n", at);
            const auto next = end == std::string::npos ? whole.size() : end + 4;
            if (!connection.send(whole.substr(at, next - at)))
                return false;
            at = next;
            if (end != std::string::npos)
                pause(stream.pauseMs);
        }
        return true;
    }

    std::string answer(const Request& request)
    {
        const auto attempt = request.head.field("attempt-id");
        if (request.target == "/healthz")
            return "HTTP/1.1 200 OK\r\nInstance-Id: " + m_id + "\r\nContent-Length: 0\r\n\r\n";
        const auto expected = request.head.field("expected-instance");
        if (!expected.empty() && expected != m_id)
            return "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + attempt + "\r\nContent-Length: 0\r\n\r\n";
        if (m_onRun)
            m_onRun(*this, request);
        const auto seal = "Attempt-Id: " + attempt + "\r\nRunner-Seal: seal." + attempt + "\r\n";
        if (!m_isEngine) {
            const auto body = "answer to " + attempt;
            return "HTTP/1.1 200 OK\r\n" + seal + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + (request.method == "HEAD" ? "" : body);
        }
        std::string events;
        for (int i = std::atoi(request.head.field("last-event-id").c_str()) + 1; i <= m_stream.load().events; ++i) {
            const auto event = "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) + " of " + m_start.version + "\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            events += size + event + "\r\n";
        }
        return "HTTP/1.1 200 OK\r\n" + seal + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + events + "0\r\n\r\n";
    }

    const Deployment& m_deployment;
    Address m_address;
    std::string m_service;
    bool m_isEngine;
    OnRun m_onRun;
    ServerStart m_start;
    std::string m_id;
    int m_listener;
    std::atomic<Stream> m_stream = Stream();
    std::atomic<int> m_active = 0;
    std::atomic<bool> m_hasCrashed = false;
    std::mutex m_mutex;
    std::set<int> m_connections; // Open ones; guarded by m_mutex.
};

/** A desired state with one route of each type: `/chat/`, `/order/` and `/look/` of host `caption.example`. */
struct DesiredState {
    int version = 1;
    std::string tenants = R"([{"name":"tenant-a","api-keys":["key-of-a"],"priority":1},{"name":"tenant-b","api-keys":["key-of-b"],"priority":1}])";
    bool hasLookUps = true; ///< The route `/look/` is there.
    int furtherRoutes = 0;

    std::string text() const
    {
        const std::string plain = R"("timeout-ms":1500,"slo-ms":300,"priority":2,"service":"plain","public":false,"sticky":false)";
        std::string routes = R"({"name":"chat","host":"caption.example","path-prefix":"/chat/","type":"streaming","timeout-ms":12000,"slo-ms":400,"priority":0,"service":"engines","max-attempts":2,"public":false,"sticky":true,"resumable":true,"itl-target-ms":200},)"
                             R"({"name":"order","host":"caption.example","path-prefix":"/order/","type":"unsafe","max-attempts":1,)"
            + plain + "}";
        if (hasLookUps)
            routes += R"(,{"name":"look","host":"caption.example","path-prefix":"/look/","type":"safe","max-attempts":2,)" + plain + "}";
        for (int i = 0; i < furtherRoutes; ++i) {
            const auto number = std::to_string(i);
            routes += R"(,{"name":"r-)" + number + R"(","host":"further)" + std::to_string(i % 50) + R"(.example","path-prefix":"/p)" + number + R"(/","type":"safe","max-attempts":2,)" + plain + "}";
        }
        return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes + R"(],"services":[{"name":"engines","health-path":"/healthz","max-conns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity":411823,"kv-bytes":35136,"link-mbps":180000.0,"moves":true,"backups":true,"stride":4,"most":12,"pin-ms":4000.0,"hold-ms":2000.0,"session-ttl-s":5.0,"models":[{"name":"m"}]}},)"
                                                                                        R"({"name":"plain","health-path":"/healthz","max-conns":110,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":)"
            + tenants + "}";
    }
};

inline std::string callerFields(const std::string& attempt, const std::string& key)
{
    return "Host: caption.example\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: 3000\r\n" + (key.empty() ? "" : "Authorization: Bearer " + key + "\r\n");
}

/** A server for the whole run: its threads use it until the end of the program. */
template <typename... Args>
Server& startServer(Args&&... args)
{
    return *new Server(std::forward<Args>(args)...);
}

/** Runs a case and ends the program with its result. The arguments are the folder of the repository and the file for the record. */
inline int runCase(int argc, char** argv, Deployment::Options options, const std::function<int(Deployment&, Record&)>& body)
{
    if (argc != 3)
        return exitNotRun;
    auto& record = *new Record(argv[2]);
    options.root = argv[1];
    auto& deployment = *new Deployment(options, record);
    const auto result = body(deployment, record);
    deployment.stop();
    std::_Exit(result); // Threads of the servers still run.
}

/** False with TROUBLE=0. */
inline bool hasTrouble()
{
    const auto* text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

} // namespace Review
