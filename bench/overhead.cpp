/** \file
 * hickory-overhead: measures the latency that the router adds. Sends the same short requests directly to a stand-in engine
 * and through a daemon, in alternating rounds of one run, so that a change of the machine's speed affects both.
 */
#include "WorkloadResult.h"
#include "http/UpstreamClient.h"
#include "settings/SectionReader.h"

#include <algorithm>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <iostream>
#include <thread>

namespace {

using namespace HickoryHollow;
using Clock = std::chrono::steady_clock;

struct Sample {
    std::vector<double> milliseconds; ///< Latency of each successful request.
    std::uint64_t failed = 0; ///< Number of failed requests.
};

struct RoundOptions {
    std::vector<std::string> targets; ///< The connections of a thread are spread evenly over these addresses.
    std::string key;
    unsigned threads = 1;
    unsigned connections = 1; ///< Number of connections of each thread, each with one request at a time.
    double seconds = 1;
};

HttpRequest makeRequest(const std::string& key)
{
    HttpRequest request { .method = "POST", .target = "/v1/chat/completions", .fields = {}, .body = R"({"model":"caption-en","messages":[{"role":"user","content":"hello"}],"standin_tokens":1})" };
    request.fields.add("Authorization", "Bearer " + key);
    request.fields.add("Content-Type", "application/json");
    return request;
}

Task<void> client(UpstreamClient& upstream, std::string target, HttpRequest request, Clock::time_point end, Sample& sample)
{
    while (Clock::now() < end) {
        const auto startedAt = Clock::now();
        const auto call = upstream.open(target);
        const auto head = co_await call->begin(request);
        auto isEnded = static_cast<bool>(head.ec);
        auto isOk = !head.ec && head.status == 200;
        while (!isEnded) {
            const auto chunk = co_await call->readChunk();
            isOk = isOk && !chunk.ec;
            isEnded = chunk.isLast || chunk.ec;
        }
        if (isOk)
            sample.milliseconds.push_back(std::chrono::duration<double, std::milli>(Clock::now() - startedAt).count());
        else
            ++sample.failed;
    }
}

Sample runRound(const RoundOptions& options)
{
    std::vector<Sample> samples(options.threads);
    std::vector<std::thread> threads;
    const auto end = Clock::now() + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(options.seconds));
    for (unsigned i = 0; i < options.threads; ++i) {
        threads.emplace_back([&options, &sample = samples[i], end] {
            asio::io_context loop(1);
            const auto upstream = makeUpstreamClient(loop, { .maxIdlePerServer = 4096 });
            for (unsigned j = 0; j < options.connections; ++j)
                asio::co_spawn(loop, client(*upstream, options.targets[j % options.targets.size()], makeRequest(options.key), end, sample), asio::detached);
            loop.run();
        });
    }
    Sample total;
    for (unsigned i = 0; i < options.threads; ++i) {
        threads[i].join();
        total.failed += samples[i].failed;
        total.milliseconds.insert(total.milliseconds.end(), samples[i].milliseconds.begin(), samples[i].milliseconds.end());
    }
    return total;
}

int runAll(const cxxopts::ParseResult& arguments)
{
    RoundOptions options { .targets = {}, .key = "example-workspace-key", .threads = arguments["threads"].as<unsigned>(), .connections = arguments["connections"].as<unsigned>(), .seconds = arguments["seconds"].as<double>() };
    const auto direct = splitList(arguments["direct"].as<std::string>());
    const auto routed = splitList(arguments["routed"].as<std::string>());
    std::vector<double> p50Added;
    std::vector<double> p99Added;
    std::vector<double> rate;
    std::uint64_t failed = 0;
    for (int i = 0; i < arguments["rounds"].as<int>(); ++i) {
        options.targets = direct;
        const auto directSample = runRound(options);
        options.targets = routed;
        const auto routedSample = runRound(options);
        failed += directSample.failed + routedSample.failed;
        const auto q = [](const Sample& sample, double quantile) { return ClassResult::quantile(sample.milliseconds, quantile); };
        p50Added.push_back(q(routedSample, 0.5) - q(directSample, 0.5));
        p99Added.push_back(q(routedSample, 0.99) - q(directSample, 0.99));
        rate.push_back(static_cast<double>(routedSample.milliseconds.size()) / options.seconds);
        fmt::print("round {}: direct {:.0f}/s p50={:.3f} p99={:.3f} ms; routed {:.0f}/s p50={:.3f} p99={:.3f} ms; added p50={:.3f} p99={:.3f} ms\n", i + 1,
            static_cast<double>(directSample.milliseconds.size()) / options.seconds, q(directSample, 0.5), q(directSample, 0.99), rate.back(), q(routedSample, 0.5), q(routedSample, 0.99), p50Added.back(), p99Added.back());
    }
    fmt::print("median of rounds: added p50={:.3f} ms, added p99={:.3f} ms, routed {:.0f}/s, failed {}\n", ClassResult::quantile(p50Added, 0.5), ClassResult::quantile(p99Added, 0.5), ClassResult::quantile(rate, 0.5), failed);
    return failed == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    cxxopts::Options options("hickory-overhead", "Compares requests through a daemon with direct ones.");
    auto add = options.add_options();
    add("direct", "Addresses of stand-in engines", cxxopts::value<std::string>()->default_value("127.0.0.1:7100"));
    add("routed", "Addresses for callers of a daemon", cxxopts::value<std::string>()->default_value("127.0.0.1:7001"));
    add("threads", "Client threads", cxxopts::value<unsigned>()->default_value("2"));
    add("connections", "Connections a thread", cxxopts::value<unsigned>()->default_value("8"));
    add("seconds", "Length of a round", cxxopts::value<double>()->default_value("2"));
    add("rounds", "Pairs of rounds", cxxopts::value<int>()->default_value("5"));
    try {
        return runAll(options.parse(argc, argv));
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
