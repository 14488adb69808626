// A small deployment of the project's programs on loopback, with stand-ins for the platform, the operator, runners and requesters.
// Each machine has an address of its own in 127.0.0.0/8. Processes are started as deploy/system.toml says and ended by their ids.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdarg>
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
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point& scriptStart()
{
    static const auto start = Clock::now();
    return start;
}

inline double now() { return std::chrono::duration<double>(Clock::now() - scriptStart()).count(); }
inline void sleepFor(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }
inline void sleepUntil(double time) { sleepFor(std::max(0.0, time - now())); }

/** Writes record.txt, one line for each thing that was sent, answered or run. */
class Record {
public:
    explicit Record(const std::string& file)
        : m_out(file)
    {
    }
    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        char text[2048];
        va_list arguments;
        va_start(arguments, format);
        vsnprintf(text, sizeof(text), format, arguments);
        va_end(arguments);
        const std::lock_guard lock(m_mutex);
        char time[32];
        snprintf(time, sizeof(time), "%9.3f s  ", now());
        m_out << time << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

struct Message {
    int status = 0; // Of an answer; 0 if there was none that could be read.
    std::string method, target; // Of a request.
    std::map<std::string, std::string> fields; // Names in lower case.
    std::string body;
    bool isWhole = false; // The message ended as its framing says.
    std::string error;

    std::string field(const std::string& name) const
    {
        const auto it = fields.find(name);
        return it == fields.end() ? std::string() : it->second;
    }
};

inline std::string lower(std::string text)
{
    for (auto& it : text)
        it = static_cast<char>(tolower(it));
    return text;
}

/** Blocking TCP connection with a time limit for each read. */
class Connection {
public:
    explicit Connection(int fd = -1)
        : m_fd(fd)
    {
    }
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    bool open(const std::string& ip, int port, double timeout, const std::string& from = {})
    {
        close();
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        if (!from.empty()) {
            inet_pton(AF_INET, from.c_str(), &address.sin_addr);
            ::bind(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
        }
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        if (::connect(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
            pollfd p { m_fd, POLLOUT, 0 };
            int error = 1;
            socklen_t n = sizeof(error);
            if (::poll(&p, 1, static_cast<int>(timeout * 1000)) <= 0 || ::getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &n) != 0 || error != 0) {
                close();
                return false;
            }
        }
        const int one = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        return true;
    }
    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
        m_buffer.clear();
    }
    /** Closes with a reset. */
    void reset()
    {
        const linger option { 1, 0 };
        if (m_fd >= 0)
            ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
        close();
    }
    bool isOpen() const { return m_fd >= 0; }
    int fd() const { return m_fd; }
    bool write(std::string_view bytes, double timeout = 10)
    {
        const auto end = now() + timeout;
        while (!bytes.empty()) {
            const auto n = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (n > 0) {
                bytes.remove_prefix(static_cast<std::size_t>(n));
                continue;
            }
            if (n < 0 && errno != EAGAIN && errno != EINTR)
                return false;
            pollfd p { m_fd, POLLOUT, 0 };
            if (now() >= end || ::poll(&p, 1, 100) < 0)
                return false;
        }
        return true;
    }
    /** Reads more bytes. Returns their number, 0 at the end, -1 for an error or a reset, -2 at the time limit. */
    int more(double end)
    {
        for (;;) {
            pollfd p { m_fd, POLLIN, 0 };
            const auto left = end - now();
            if (left <= 0 || ::poll(&p, 1, static_cast<int>(left * 1000) + 1) <= 0)
                return -2;
            char buf[16384];
            const auto n = ::recv(m_fd, buf, sizeof(buf), MSG_DONTWAIT);
            if (n < 0 && (errno == EAGAIN || errno == EINTR))
                continue;
            if (n > 0)
                m_buffer.append(buf, static_cast<std::size_t>(n));
            return n < 0 ? -1 : static_cast<int>(n);
        }
    }
    /** Reads one message. `isAnswer` also reads a body that ends with the connection. */
    Message read(bool isAnswer, double timeout, bool hasBody = true)
    {
        Message message;
        const auto end = now() + timeout;
        std::size_t at;
        while ((at = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            const auto n = more(end);
            if (n <= 0) {
                message.error = n == 0 ? "closed" : (n == -1 ? "reset" : "time limit");
                return message;
            }
        }
        std::istringstream head(m_buffer.substr(0, at + 2));
        m_buffer.erase(0, at + 4);
        std::string line;
        std::getline(head, line);
        std::istringstream first(line);
        if (isAnswer) {
            std::string version;
            first >> version >> message.status;
        } else {
            first >> message.method >> message.target;
        }
        while (std::getline(head, line) && line.size() > 1) {
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto value = line.substr(colon + 1);
            while (!value.empty() && (value.back() == '\r' || value.back() == ' '))
                value.pop_back();
            value.erase(0, value.find_first_not_of(' '));
            message.fields[lower(line.substr(0, colon))] = value;
        }
        if (!hasBody) {
            message.isWhole = true;
            return message;
        }
        const auto need = [&](std::size_t size) {
            while (m_buffer.size() < size) {
                const auto n = more(end);
                if (n <= 0) {
                    message.error = n == 0 ? "closed" : (n == -1 ? "reset" : "time limit");
                    return false;
                }
            }
            return true;
        };
        if (message.fields.count("content-length")) {
            const auto size = std::stoull(message.fields["content-length"]);
            const auto isWhole = need(size);
            message.body = m_buffer.substr(0, std::min<std::size_t>(size, m_buffer.size()));
            m_buffer.erase(0, message.body.size());
            message.isWhole = isWhole;
        } else if (lower(message.field("transfer-encoding")) == "chunked") {
            for (;;) {
                std::size_t lineEnd;
                while ((lineEnd = m_buffer.find("\r\n")) == std::string::npos) {
                    if (!need(m_buffer.size() + 1))
                        return message;
                }
                const auto size = std::stoull(m_buffer.substr(0, lineEnd), nullptr, 16);
                m_buffer.erase(0, lineEnd + 2);
                if (!need(size + 2)) {
                    message.body += m_buffer;
                    return message;
                }
                message.body += m_buffer.substr(0, size);
                m_buffer.erase(0, size + 2);
                if (size == 0)
                    break;
            }
            message.isWhole = true;
        } else if (isAnswer) {
            while (need(m_buffer.size() + 1)) { }
            message.body = m_buffer;
            m_buffer.clear();
            message.isWhole = message.error == "closed";
        } else {
            message.isWhole = true;
        }
        return message;
    }

private:
    int m_fd;
    std::string m_buffer;
};

inline std::string request(const std::string& method, const std::string& target, const std::string& fields, const std::string& body, const std::string& host)
{
    auto text = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" + fields;
    if (!body.empty() || method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

/** Sends one request on a new connection and reads its answer. */
inline Message call(const std::string& ip, int port, const std::string& method, const std::string& target, const std::string& fields, const std::string& body, double timeout, const std::string& host = "control")
{
    Connection connection;
    Message answer;
    if (!connection.open(ip, port, std::min(timeout, 1.0))) {
        answer.error = "no connection";
        return answer;
    }
    if (!connection.write(request(method, target, fields, body, host)))
        answer.error = "closed";
    else
        answer = connection.read(true, timeout);
    return answer;
}

/** A listener with a thread for each connection. */
class Listener {
public:
    using Serve = std::function<void(Connection&)>;

    Listener(const std::string& ip, int port, Serve serve)
        : m_serve(std::move(serve))
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        m_isOpen = ::bind(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 && ::listen(m_fd, 256) == 0;
        if (m_isOpen)
            m_thread = std::thread([this] { run(); });
    }
    ~Listener()
    {
        m_isStopped = true;
        if (m_thread.joinable())
            m_thread.join();
        if (m_fd >= 0)
            ::close(m_fd);
    }
    bool isOpen() const { return m_isOpen; }

private:
    void run()
    {
        while (!m_isStopped) {
            pollfd p { m_fd, POLLIN, 0 };
            if (::poll(&p, 1, 50) <= 0)
                continue;
            const auto fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int one = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            std::thread([serve = m_serve, fd] {
                Connection connection(fd);
                serve(connection);
            }).detach();
        }
    }

    Serve m_serve;
    int m_fd = -1;
    bool m_isOpen = false;
    std::atomic<bool> m_isStopped = false;
    std::thread m_thread;
};

/** Addresses and ports of one run. */
struct Network {
    int second = 0; // Of the addresses 127.second.zone.number.
    int control = 0, callers = 0, ready = 0, links = 0, servers = 0;

    std::string ip(int group, int number) const { return "127." + std::to_string(second) + "." + std::to_string(group) + "." + std::to_string(number); }
};

/** Finds ports that are free on a new loopback address. */
inline Network findNetwork()
{
    std::mt19937 random(static_cast<unsigned>(::getpid()) * 2654435761U + static_cast<unsigned>(time(nullptr)));
    Network network;
    for (int attempt = 0; attempt < 200; ++attempt) {
        network.second = 20 + static_cast<int>(random() % 200);
        const int base = 11000 + static_cast<int>(random() % 19000);
        auto isFree = true;
        for (int i = 0; i < 6 && isFree; ++i) {
            const auto fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            sockaddr_in address {};
            address.sin_family = AF_INET;
            address.sin_port = htons(static_cast<std::uint16_t>(base + i));
            inet_pton(AF_INET, network.ip(1, 1).c_str(), &address.sin_addr);
            isFree = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
            ::close(fd);
        }
        if (!isFree)
            continue;
        network.control = base;
        network.callers = base + 1;
        network.ready = base + 2;
        network.links = base + 3;
        network.servers = base + 4;
        return network;
    }
    return network;
}

/** One machine of the system with its process. */
class Machine {
public:
    Machine(const Network& network, const std::filesystem::path& folder, const std::string& name, const std::string& ip, const std::string& zone, bool isCore)
        : m_network(network)
        , m_folder(folder)
        , m_name(name)
        , m_ip(ip)
        , m_zone(zone)
        , m_isCore(isCore)
    {
    }
    ~Machine() { kill(); }

    const std::string& name() const { return m_name; }
    const std::string& ip() const { return m_ip; }
    bool isCore() const { return m_isCore; }
    pid_t pid() const { return m_pid; }
    std::filesystem::path settings() const { return m_folder / (m_name + ".ini"); }
    std::filesystem::path data() const { return m_folder / (m_name + "-data"); }
    /** Writes the settings file as the platform fills in platform/daemon.ini. */
    void writeSettings(const std::vector<std::string>& seeds, bool isFirstStart, int memoryMb = 256) const
    {
        std::ostringstream out;
        out << "[instance]\nname = " << m_name << "\nfailure-domain = " << m_zone << "\n";
        if (m_isCore)
            out << "data-folder = " << data().string() << "\n";
        out << "[listen]\nlinks = " << m_ip << ":" << m_network.links << "\n";
        if (m_isCore)
            out << "control = " << m_ip << ":" << m_network.control << "\n";
        else
            out << "callers = " << m_ip << ":" << m_network.callers << "\nready = " << m_ip << ":" << m_network.ready << "\n";
        out << "[membership]\nseeds = ";
        for (std::size_t i = 0; i < seeds.size(); ++i)
            out << (i > 0 ? "," : "") << seeds[i] << ":" << m_network.control;
        out << "\nseed-port = " << m_network.links << "\nfirst-start = " << (isFirstStart ? "true" : "false") << "\nbearable-losses = 2\n";
        out << "[limits]\nmemory-mb = " << memoryMb << "\n";
        out << "[bounds]\ndrain-s = 8\nkey-lease-ms = 5000\nconfig-apply-ms = 2000\nannounce-ms = 1200\nretry-ratio = 0.2\nretry-slack = 56\nretry-window-s = 10\nretry-after-s = 8.1\n";
        const auto temporary = settings().string() + ".new";
        std::ofstream(temporary) << out.str();
        std::filesystem::rename(temporary, settings());
    }
    void start()
    {
        if (m_isCore)
            std::filesystem::create_directories(data());
        const auto file = settings().string();
        const auto log = (m_folder / (m_name + ".log")).string();
        const char* program = "target/platform/hickoryhollowd-platform";
        m_pid = ::fork();
        if (m_pid != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const auto out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::setenv("HICKORYHOLLOW_CONFIG", file.c_str(), 1);
        ::execl(program, program, file.c_str(), nullptr);
        ::_exit(127);
    }
    void signal(int number) const
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }
    /** True while the process runs; collects its status when it has ended. */
    bool runs()
    {
        if (m_pid <= 0)
            return false;
        int status = 0;
        if (::waitpid(m_pid, &status, WNOHANG) == 0)
            return true;
        m_status = status;
        m_pid = -1;
        return false;
    }
    int status() const { return m_status; }
    /** Waits for the end of the process, and kills it at the time limit. */
    void awaitEnd(double timeout)
    {
        const auto end = now() + timeout;
        while (runs() && now() < end)
            sleepFor(0.01);
        kill();
    }
    void kill()
    {
        if (!runs())
            return;
        ::kill(m_pid, SIGCONT);
        ::kill(m_pid, SIGKILL);
        int status = 0;
        ::waitpid(m_pid, &status, 0);
        m_status = status;
        m_pid = -1;
    }

private:
    const Network& m_network;
    std::filesystem::path m_folder;
    std::string m_name, m_ip, m_zone;
    bool m_isCore;
    pid_t m_pid = -1;
    int m_status = 0;
};

/** Temporary folder that goes with the script. */
class Folder {
public:
    Folder()
    {
        const char* base = ::getenv("TMPDIR");
        std::string name = std::string(base ? base : "/tmp") + "/hickory-review-XXXXXX";
        m_path = ::mkdtemp(name.data());
    }
    ~Folder()
    {
        std::error_code ec;
        if (!::getenv("KEEP_FOLDER"))
            std::filesystem::remove_all(m_path, ec);
    }
    const std::filesystem::path& path() const { return m_path; }

private:
    std::filesystem::path m_path;
};

inline bool hasTrouble()
{
    const char* value = ::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

} // namespace Review
