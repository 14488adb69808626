/** \file
 * hickory-orders: sends orders that must run at most once, repeats each through several instances after lost answers, and
 * then reads from the order services how often each key was executed.
 */
#include "base/SeededRandom.h"
#include "http/UpstreamClient.h"
#include "net/Timer.h"
#include "settings/SectionReader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <iostream>
#include <map>
#include <set>

namespace {

using namespace HickoryHollow;

struct Totals {
    std::uint64_t orders = 0; ///< Number of orders, each with its own idempotency key.
    std::uint64_t attempts = 0; ///< Number of requests sent for them.
    std::uint64_t answered = 0; ///< Number of orders that were answered.
    std::uint64_t unknown = 0; ///< Number of orders that ended with an unknown outcome: they may have run.
    std::uint64_t unresolved = 0; ///< Number of orders with neither result after the last attempt.
    std::uint64_t refusedButExecuted = 0; ///< Number of executed keys whose every attempt was refused as not run.
    std::set<std::string> mayHaveRun; ///< Keys with at least one attempt that was not refused as not run.
    std::vector<double> milliseconds; ///< Time from the start of each order to its first answer.
};

class OrderSender {
public:
    OrderSender(asio::io_context& loop, std::vector<std::string> targets, std::string key, std::uint64_t seed)
        : m_loop(loop)
        , m_targets(std::move(targets))
        , m_key(std::move(key))
        , m_random(seed)
        , m_seed(seed)
        , m_client(makeUpstreamClient(loop, {}))
    {
    }

    /** Sends `rate` orders a second for `seconds`, without waiting for their answers. */
    Task<void> sendAll(double rate, double seconds)
    {
        Timer timer(m_loop.get_executor());
        const auto n = static_cast<std::uint64_t>(rate * seconds);
        auto next = std::chrono::steady_clock::now();
        for (std::uint64_t i = 0; i < n; ++i) {
            timer.expires_at(next);
            co_await timer.async_wait(asTuple);
            next += std::chrono::microseconds(static_cast<long>(1e6 / rate));
            ++totals.orders;
            asio::co_spawn(m_loop, sendOrder(fmt::format("o{}-{}", m_seed, i)), asio::detached);
        }
    }

    Totals totals; ///< Final once the event loop has run out of work.

private:
    static constexpr int maxAttempts = 40;

    /** Sends the order to random instances until its outcome is known. One order in four is also sent twice at once. */
    Task<void> sendOrder(std::string key)
    {
        if (m_random.below(4) == 0)
            asio::co_spawn(m_loop, sendDuplicate(key), asio::detached);
        const auto startedAt = std::chrono::steady_clock::now();
        Timer timer(m_loop.get_executor());
        for (int i = 0; i < maxAttempts; ++i) {
            const auto code = co_await attempt(key);
            if (code == "answered") {
                ++totals.answered;
                totals.milliseconds.push_back(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - startedAt).count());
                co_return;
            }
            if (code == "outcome_unknown") {
                ++totals.unknown;
                co_return;
            }
            timer.expires_after(std::chrono::milliseconds(250));
            co_await timer.async_wait(asTuple);
        }
        ++totals.unresolved;
    }

    Task<void> sendDuplicate(std::string key)
    {
        co_await attempt(key);
    }

    /** Sends a request for the order. Returns `answered`, `outcome_unknown`, `refused`, or `lost` if it broke off. */
    Task<std::string> attempt(const std::string& key)
    {
        ++totals.attempts;
        HttpRequest request;
        request.method = "POST";
        request.target = "/orders/plate";
        request.body = "order " + key;
        request.fields.add("Authorization", "Bearer " + m_key);
        request.fields.add("Idempotency-Key", key);
        const auto call = m_client->open(m_targets[m_random.below(m_targets.size())], { .head = std::chrono::seconds(8) });
        const auto head = co_await call->begin(request);
        std::string body;
        auto isBroken = static_cast<bool>(head.ec);
        while (!isBroken) {
            const auto chunk = co_await call->readChunk();
            body.append(chunk.bytes);
            isBroken = static_cast<bool>(chunk.ec);
            if (chunk.isLast)
                break;
        }
        if (isBroken || head.fields.find("X-Hickory-Verdict") != "not-run")
            totals.mayHaveRun.insert(key);
        std::string code = "lost";
        if (!isBroken && head.status == 200)
            code = "answered";
        else if (!isBroken && body.find("outcome_unknown") != std::string::npos)
            code = "outcome_unknown";
        else if (!isBroken)
            code = "refused";
        co_return code;
    }

    asio::io_context& m_loop;
    std::vector<std::string> m_targets;
    std::string m_key;
    SeededRandom m_random;
    std::uint64_t m_seed;
    std::unique_ptr<UpstreamClient> m_client;
};

/** Adds the executions of each key at the given services; a service that does not answer is left out. */
Task<void> readExecutions(asio::io_context& loop, std::vector<std::string> services, std::map<std::string, std::int64_t>& counts)
{
    const auto client = makeUpstreamClient(loop, {});
    for (const auto& it : services) {
        HttpRequest request;
        request.method = "GET";
        request.target = "/executed";
        const auto call = client->open(it);
        const auto head = co_await call->begin(request);
        std::string body;
        for (auto isLast = static_cast<bool>(head.ec); !isLast;) {
            const auto chunk = co_await call->readChunk();
            body.append(chunk.bytes);
            isLast = chunk.isLast || chunk.ec;
        }
        if (body.empty())
            continue;
        const auto value = boost::json::parse(body);
        for (const auto& entry : value.as_object().at("executions").as_object())
            counts[std::string(entry.key())] += entry.value().to_number<std::int64_t>();
    }
}

int runOrders(const cxxopts::ParseResult& arguments)
{
    asio::io_context loop(1);
    OrderSender sender(loop, splitList(arguments["targets"].as<std::string>()), arguments["key"].as<std::string>(), arguments["seed"].as<std::uint64_t>());
    asio::co_spawn(loop, sender.sendAll(arguments["rate"].as<double>(), arguments["seconds"].as<double>()), asio::detached);
    loop.run();
    loop.restart();
    std::map<std::string, std::int64_t> executions;
    asio::co_spawn(loop, readExecutions(loop, splitList(arguments["services"].as<std::string>()), executions), asio::detached);
    loop.run();
    auto& totals = sender.totals;
    std::uint64_t executedTwice = 0;
    for (const auto& [key, n] : executions) {
        executedTwice += n > 1 ? 1 : 0;
        totals.refusedButExecuted += totals.mayHaveRun.contains(key) ? 0 : 1;
    }
    std::sort(totals.milliseconds.begin(), totals.milliseconds.end());
    const auto median = totals.milliseconds.empty() ? 0 : totals.milliseconds[totals.milliseconds.size() / 2];
    const auto p99 = totals.milliseconds.empty() ? 0 : totals.milliseconds[totals.milliseconds.size() * 99 / 100];
    fmt::print("orders={} attempts={} answered={} may_have_run={} without_end={} executed={} executed_twice={} refused_but_executed={} answer_p50={:.1f}ms answer_p99={:.1f}ms\n",
        totals.orders, totals.attempts, totals.answered, totals.unknown, totals.unresolved, executions.size(), executedTwice, totals.refusedButExecuted, median, p99);
    return executedTwice == 0 && totals.refusedButExecuted == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    cxxopts::Options options("hickory-orders", "Sends orders that must run at most once and counts executions.");
    auto add = options.add_options();
    add("targets", "Addresses for callers of the instances", cxxopts::value<std::string>());
    add("services", "Addresses of the order services", cxxopts::value<std::string>());
    add("key", "API key of the workspace", cxxopts::value<std::string>()->default_value("example-workspace-key"));
    add("rate", "Orders a second", cxxopts::value<double>()->default_value("20"));
    add("seconds", "Time in which to send orders", cxxopts::value<double>()->default_value("10"));
    add("seed", "Seed", cxxopts::value<std::uint64_t>()->default_value("1"));
    try {
        return runOrders(options.parse(argc, argv));
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
