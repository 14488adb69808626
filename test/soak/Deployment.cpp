#include "soak/Deployment.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>

namespace HickoryHollow::Soak {

namespace {

constexpr int linkPort = 7941;
constexpr int controlPort = 7942;
constexpr int callerPort = 7943;
constexpr int readyPort = 7944;
constexpr int serverPort = 7945;
constexpr int seedCount = 3; // State instances that each instance's settings list as seeds.

// The numbers of backend servers begin here, so that their addresses differ from those of the instances.
constexpr int firstBackendNumber = 1000;
constexpr int backendNetwork = 5; // Third number of their addresses.
constexpr int firstPathNetwork = 16;
constexpr int maxPaths = 8;

// Built beside the soak.
std::filesystem::path pathLibrary()
{
    return std::filesystem::read_symlink("/proc/self/exe").parent_path() / "soak-server-path.so";
}

} // namespace

std::string Deployment::advertisedAddress(int number, int port) const
{
    return fmt::format("127.{}.{}.{}:{}", m_options.network, number / 200, number % 200 + 1, port);
}

std::string Deployment::boundAddress(int number, int port) const
{
    return fmt::format("127.{}.{}.{}:{}", m_options.network + 1, number / 200, number % 200 + 1, port);
}

Deployment::Deployment(Options options, GuaranteeChecker& checker)
    : m_options(std::move(options))
{
    std::filesystem::remove_all(m_options.folder);
    std::filesystem::create_directories(m_options.folder);
    const auto addProxy = [this](std::string name, int number, int port) { m_proxies.emplace_back(std::move(name), std::make_unique<FaultProxy>(m_loop, advertisedAddress(number, port), boundAddress(number, port))); };
    for (int i = 0; i < m_options.states + m_options.entries; ++i) {
        const auto name = fmt::format("n{}", i);
        if (keepsState(i)) {
            addProxy(name + "-links", i, linkPort);
            addProxy(name + "-control", i, controlPort);
        } else {
            addProxy(name + "-callers", i, callerPort);
        }
        writeSettings(i, true);
        m_processes.push_back(std::make_unique<Process>(m_options.program, m_options.folder / (name + ".ini"), m_options.folder / (name + ".log"), environmentFor(i)));
    }
    for (int i = 0; i < m_options.backends; ++i) {
        addProxy(fmt::format("backend{}", i), firstBackendNumber + i, serverPort);
        m_backends.push_back(std::make_unique<Backend>(Backend::Options { .listen = boundAddress(firstBackendNumber + i, serverPort), .advertised = advertisedAddress(firstBackendNumber + i, serverPort), .number = i, .seed = m_options.seed + static_cast<std::uint64_t>(i) }, checker));
    }
    for (int entry = 0; entry < std::min(maxPaths, m_options.entries); ++entry) {
        auto& path = m_paths.emplace_back();
        for (int i = 0; i < m_options.backends; ++i)
            path.push_back(std::make_unique<FaultProxy>(m_loop, fmt::format("{}.{}:{}", pathNetwork(entry), i + 1, serverPort), advertisedAddress(firstBackendNumber + i, serverPort)));
    }
    m_thread = std::thread([this] { m_loop.run(); });
    for (const auto& it : m_processes)
        it->start();
}

Deployment::~Deployment()
{
    m_processes.clear();
    m_loop.stop();
    m_thread.join();
}

std::string Deployment::pathNetwork(int entry) const
{
    return fmt::format("127.{}.{}", m_options.network, firstPathNetwork + entry);
}

std::vector<std::string> Deployment::environmentFor(int number) const
{
    const auto entry = number - m_options.states;
    if (entry < 0 || entry >= maxPaths)
        return {};
    return { "LD_PRELOAD=" + pathLibrary().string(), fmt::format("SOAK_SERVERS=127.{}.{}", m_options.network, backendNetwork), "SOAK_PATH=" + pathNetwork(entry) };
}

void Deployment::setServerLinks(int entry, LinkFault fault)
{
    for (const auto& it : m_paths.at(static_cast<std::size_t>(entry)))
        it->setFault(fault);
}

bool Deployment::usesServerLinks(int entry) const
{
    const auto& path = m_paths.at(static_cast<std::size_t>(entry));
    return std::any_of(path.begin(), path.end(), [](const auto& it) { return it->wasUsed(); });
}

void Deployment::writeSettings(int number, bool isFirstStart) const
{
    std::ofstream file(m_options.folder / fmt::format("n{}.ini", number));
    file << fmt::format("[instance]\nname = n{}\nfailure-domain = d{}\n", number, number % 3);
    if (keepsState(number)) {
        const auto data = m_options.folder / fmt::format("data{}", number);
        std::filesystem::create_directories(data);
        file << fmt::format("data-folder = {}\n[listen]\nlinks = {}\nlinks-bind = {}\ncontrol = {}\n", data.string(), advertisedAddress(number, linkPort), boundAddress(number, linkPort), boundAddress(number, controlPort));
    } else {
        file << fmt::format("[listen]\nlinks = {}\ncallers = {}\nready = {}\n", boundAddress(number, linkPort), boundAddress(number, callerPort), boundAddress(number, readyPort));
    }
    file << "[membership]\nseeds = ";
    for (int i = 0; i < std::min(seedCount, m_options.states); ++i)
        file << (i > 0 ? "," : "") << advertisedAddress(i, controlPort);
    file << fmt::format("\nseed-port = {}\nfirst-start = {}\nbearable-losses = {}\n[bounds]\ndrain-s = 4\nkey-lease-ms = 5000\nannounce-ms = 800\nretry-slack = 60\n", linkPort, isFirstStart ? "true" : "false", (m_options.states - 1) / 2);
}

void Deployment::restart(int number)
{
    writeSettings(number, false);
    process(number).start();
}

void Deployment::wipeDisk(int number) const
{
    std::filesystem::remove_all(m_options.folder / fmt::format("data{}", number));
}

std::vector<std::pair<std::string, FaultProxy*>> Deployment::proxies()
{
    std::vector<std::pair<std::string, FaultProxy*>> all;
    for (const auto& [name, proxy] : m_proxies)
        all.emplace_back(name, proxy.get());
    return all;
}

std::string Deployment::controlAddress(int state) const
{
    return advertisedAddress(state, controlPort);
}

std::string Deployment::callerAddress(int entry) const
{
    return advertisedAddress(m_options.states + entry, callerPort);
}

std::string Deployment::directCallerAddress(int entry) const
{
    return boundAddress(m_options.states + entry, callerPort);
}

std::string Deployment::linkAddress(int entry) const
{
    return boundAddress(m_options.states + entry, linkPort);
}

} // namespace HickoryHollow::Soak
