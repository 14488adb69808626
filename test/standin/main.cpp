/** \file
 * hickory-standin: runs one or more stand-in engines in one process, on consecutive loopback ports, until SIGTERM or SIGINT.
 */
#include "http/HttpServer.h"
#include "net/EventLoops.h"
#include "settings/SectionReader.h"
#include "test/standin/StandInEngine.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <iostream>
#include <memory>

namespace {

using namespace HickoryHollow;

cxxopts::Options describeOptions()
{
    cxxopts::Options options("hickory-standin", "Simulated backend servers for tests, benchmarks and the quickstart.");
    auto add = options.add_options();
    add("engines", "Number of engines", cxxopts::value<unsigned>()->default_value("1"));
    add("first-port", "Port of the first engine; the others use the ports after it", cxxopts::value<unsigned>()->default_value("7100"));
    add("announce", "Addresses that receive the announcements in rotation, separated by commas; empty for none", cxxopts::value<std::string>()->default_value(""));
    add("service", "Name of the service in the inventory", cxxopts::value<std::string>()->default_value("captions"));
    add("models", "Models separated by commas; empty for a plain service", cxxopts::value<std::string>()->default_value(""));
    add("domains", "Failure domains separated by commas, assigned to the engines in rotation", cxxopts::value<std::string>()->default_value("a"));
    add("slots", "Requests that one engine runs at the same time", cxxopts::value<unsigned>()->default_value("8"));
    add("token-us", "Microseconds between two tokens on an idle engine", cxxopts::value<unsigned>()->default_value("10000"));
    add("prefill-us", "Microseconds before the first token without a cached prefix", cxxopts::value<unsigned>()->default_value("30000"));
    add("report-lag-ms", "Age of the announced load in milliseconds", cxxopts::value<unsigned>()->default_value("300"));
    return options;
}

StandInOptions optionsOf(const cxxopts::ParseResult& arguments, unsigned i)
{
    const auto domains = splitList(arguments["domains"].as<std::string>());
    StandInOptions options;
    options.address = fmt::format("127.0.0.1:{}", arguments["first-port"].as<unsigned>() + i);
    options.service = arguments["service"].as<std::string>();
    options.models = splitList(arguments["models"].as<std::string>());
    options.failureDomain = domains.at(i % domains.size());
    options.slots = arguments["slots"].as<unsigned>();
    options.tokenTime = std::chrono::microseconds(arguments["token-us"].as<unsigned>());
    options.prefillTime = std::chrono::microseconds(arguments["prefill-us"].as<unsigned>());
    options.reportLag = std::chrono::milliseconds(arguments["report-lag-ms"].as<unsigned>());
    options.announceTo = splitList(arguments["announce"].as<std::string>());
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    auto options = describeOptions();
    const auto arguments = options.parse(argc, argv);
    EventLoops loops(1);
    std::vector<std::unique_ptr<StandInEngine>> engines;
    std::vector<std::unique_ptr<HttpServer>> servers;
    for (unsigned i = 0; i < arguments["engines"].as<unsigned>(); ++i) {
        const auto engineOptions = optionsOf(arguments, i);
        engines.push_back(std::make_unique<StandInEngine>(loops.at(0), engineOptions));
        servers.push_back(std::make_unique<HttpServer>(loops, *engines.back(), HttpServerOptions { .address = engineOptions.address, .maxConnections = 40'000 }));
        asio::co_spawn(loops.at(0), engines.back()->announceLoop(), asio::detached);
    }
    asio::basic_signal_set<Executor> signals(loops.at(0).get_executor(), SIGTERM, SIGINT);
    signals.async_wait([&loops](const auto&, int) { loops.stop(); });
    loops.run();
    return 0;
}
