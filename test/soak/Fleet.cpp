#include "soak/Fleet.h"

#include <fmt/format.h>
#include <fstream>

namespace HickoryHollow::Soak {

namespace {

constexpr int linkPort = 7941;
constexpr int controlPort = 7942;
constexpr int callerPort = 7943;
constexpr int readyPort = 7944;
constexpr int serverPort = 7945;
constexpr int seeds = 3;

/** 127.20 is what the others are told, where a relay listens; 127.21 is the instance's own. */
std::string told(int number, int port)
{
    return fmt::format("127.20.{}.{}:{}", number / 200, number % 200 + 1, port);
}

std::string own(int number, int port)
{
    return fmt::format("127.21.{}.{}:{}", number / 200, number % 200 + 1, port);
}

constexpr int firstBackend = 1000; // Their numbers, so that addresses differ from the instances'.

} // namespace

Fleet::Fleet(Options options, Record& record)
    : m_options(std::move(options))
{
    std::filesystem::remove_all(m_options.folder);
    std::filesystem::create_directories(m_options.folder);
    const auto relay = [this](std::string name, int number, int port) { m_relays.emplace_back(std::move(name), std::make_unique<Proxy>(m_loop, told(number, port), own(number, port))); };
    for (int i = 0; i < m_options.states + m_options.entries; ++i) {
        const auto name = fmt::format("n{}", i);
        if (keepsState(i)) {
            relay(name + "-links", i, linkPort);
            relay(name + "-control", i, controlPort);
        } else {
            relay(name + "-callers", i, callerPort);
        }
        writeSettings(i, true);
        m_processes.push_back(std::make_unique<Process>(m_options.program, m_options.folder / (name + ".ini"), m_options.folder / (name + ".log")));
    }
    for (int i = 0; i < m_options.backends; ++i) {
        relay(fmt::format("backend{}", i), firstBackend + i, serverPort);
        m_backends.push_back(std::make_unique<Backend>(Backend::Options { .listen = own(firstBackend + i, serverPort), .announced = told(firstBackend + i, serverPort), .number = i, .seed = m_options.seed + static_cast<std::uint64_t>(i) }, record));
    }
    m_thread = std::thread([this] { m_loop.run(); });
    for (const auto& it : m_processes)
        it->start();
}

Fleet::~Fleet()
{
    m_processes.clear();
    m_loop.stop();
    m_thread.join();
}

void Fleet::writeSettings(int number, bool isFirstStart) const
{
    std::ofstream file(m_options.folder / fmt::format("n{}.ini", number));
    file << fmt::format("[instance]\nname = n{}\nfailure-domain = d{}\n", number, number % 3);
    if (keepsState(number)) {
        const auto data = m_options.folder / fmt::format("data{}", number);
        std::filesystem::create_directories(data);
        file << fmt::format("data-folder = {}\n[listen]\nlinks = {}\nlinks-bind = {}\ncontrol = {}\n", data.string(), told(number, linkPort), own(number, linkPort), own(number, controlPort));
    } else {
        file << fmt::format("[listen]\nlinks = {}\ncallers = {}\nready = {}\n", own(number, linkPort), own(number, callerPort), own(number, readyPort));
    }
    file << "[membership]\nseeds = ";
    for (int i = 0; i < std::min(seeds, m_options.states); ++i)
        file << (i > 0 ? "," : "") << told(i, controlPort);
    file << fmt::format("\nseed-port = {}\nfirst-start = {}\nbearable-losses = {}\n[bounds]\ndrain-s = 4\nkey-lease-ms = 5000\nannounce-ms = 800\nretry-slack = 60\n", linkPort, isFirstStart ? "true" : "false", (m_options.states - 1) / 2);
}

void Fleet::restart(int number)
{
    writeSettings(number, false);
    process(number).start();
}

void Fleet::wipe(int number) const
{
    std::filesystem::remove_all(m_options.folder / fmt::format("data{}", number));
}

std::vector<std::pair<std::string, Proxy*>> Fleet::relays()
{
    std::vector<std::pair<std::string, Proxy*>> all;
    for (const auto& [name, relay] : m_relays)
        all.emplace_back(name, relay.get());
    return all;
}

std::string Fleet::controlAddress(int state) const
{
    return told(state, controlPort);
}

std::string Fleet::callerAddress(int entry) const
{
    return told(m_options.states + entry, callerPort);
}

} // namespace HickoryHollow::Soak
