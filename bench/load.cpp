/** \file
 * hickory-load: sends a mix of classes to one or more instances and prints the results as callers see them, by class.
 */
#include "Workload.h"
#include "settings/SectionReader.h"

#include <csignal>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <iostream>

namespace {

using namespace HickoryHollow;

cxxopts::Options describeOptions()
{
    cxxopts::Options options("hickory-load", "Sends a workload and checks every answer.");
    auto add = options.add_options();
    add("targets", "Addresses for callers of the instances", cxxopts::value<std::string>()->default_value("127.0.0.1:7001"));
    add("key", "API key of the workspace", cxxopts::value<std::string>()->default_value("example-workspace-key"));
    add("model", "Model of all requests", cxxopts::value<std::string>()->default_value("caption-en"));
    add("class", "NAME:SHARE:MEDIAN_TOKENS:SIGMA:FIRST_MS:WHOLE_MS:PATIENCE_MS", cxxopts::value<std::vector<std::string>>());
    add("rate", "First attempts a second", cxxopts::value<double>()->default_value("20"));
    add("burst", "Factor of the rate in the middle third of the time", cxxopts::value<double>()->default_value("1"));
    add("repeats", "Average of the maximum number of repeats of a request", cxxopts::value<double>()->default_value("0"));
    add("seconds", "Time in which to send first attempts", cxxopts::value<double>()->default_value("10"));
    add("seed", "Seed of arrivals and lengths", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("prefixes", "Number of different prompt prefixes", cxxopts::value<std::size_t>()->default_value("8"));
    add("label", "Printed in front of each line", cxxopts::value<std::string>()->default_value(""));
    return options;
}

ClassLoad parseClass(const std::string& text)
{
    std::vector<std::string> fields;
    std::string rest = text;
    for (auto colon = rest.find(':'); colon != std::string::npos; colon = rest.find(':')) {
        fields.push_back(rest.substr(0, colon));
        rest.erase(0, colon + 1);
    }
    fields.push_back(rest);
    constexpr std::size_t fieldCount = 7;
    if (fields.size() != fieldCount)
        throw std::invalid_argument(fmt::format("class `{}` has {} fields, expected {}", text, fields.size(), fieldCount));
    ClassLoad load;
    load.name = fields[0];
    load.share = std::stod(fields[1]);
    load.medianTokens = std::stod(fields[2]);
    load.sigma = std::stod(fields[3]);
    load.firstTokenTarget = std::chrono::milliseconds(std::stol(fields[4]));
    load.completionTarget = std::chrono::milliseconds(std::stol(fields[5]));
    load.callerTimeout = std::chrono::milliseconds(std::stol(fields[6]));
    return load;
}

void print(const std::string& label, const std::string& name, const ClassResult& result)
{
    const auto share = result.requests == 0 ? 0.0 : 100.0 * static_cast<double>(result.inTarget) / static_cast<double>(result.requests);
    fmt::print("{:<16} {:<6} requests={} repeats={} whole={} in_target={:.2f}% wrong={} refused={} failed={} abandoned={} delivered_tokens={} first_p50={:.1f} first_p95={:.1f} first_p99={:.1f} whole_p50={:.1f} whole_p99={:.1f}\n",
        label, name, result.requests, result.repeats, result.complete, share, result.wrong, result.refused, result.failed, result.abandoned, result.deliveredTokens,
        ClassResult::quantile(result.firstTokenMilliseconds, 0.5), ClassResult::quantile(result.firstTokenMilliseconds, 0.95), ClassResult::quantile(result.firstTokenMilliseconds, 0.99),
        ClassResult::quantile(result.completionMilliseconds, 0.5), ClassResult::quantile(result.completionMilliseconds, 0.99));
}

int runLoad(const cxxopts::ParseResult& arguments)
{
    WorkloadOptions options;
    options.targets = splitList(arguments["targets"].as<std::string>());
    options.key = arguments["key"].as<std::string>();
    options.model = arguments["model"].as<std::string>();
    for (const auto& it : arguments["class"].as<std::vector<std::string>>())
        options.classes.push_back(parseClass(it));
    options.requestsPerSecond = arguments["rate"].as<double>();
    options.burstFactor = arguments["burst"].as<double>();
    options.repeatsPerRequest = arguments["repeats"].as<double>();
    options.duration = std::chrono::milliseconds(static_cast<long>(arguments["seconds"].as<double>() * 1000));
    options.seed = arguments["seed"].as<std::uint64_t>();
    options.promptPrefixes = arguments["prefixes"].as<std::size_t>();
    asio::io_context loop(1);
    Workload workload(loop, options);
    workload.start();
    loop.run();
    std::uint64_t wrong = 0;
    for (const auto& [name, result] : workload.result()) {
        print(arguments["label"].as<std::string>(), name, result);
        wrong += result.wrong;
    }
    return wrong == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        auto options = describeOptions();
        return runLoad(options.parse(argc, argv));
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
