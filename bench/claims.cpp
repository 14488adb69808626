/** \file
 * hickory-claims: measures throughput and latency of claims through three replicas that sync to real folders: one claim
 * per sync against many, in alternating rounds of one run. Also measures the cost of one change of settings.
 */
#include "WorkloadResult.h"
#include "state/StateNode.h"
#include "wire/AgreementCodec.h"
#include "wire/ThriftCodec.h"
#include "wire/gen/hickoryhollow_types.h"

#include <atomic>
#include <condition_variable>
#include <cxxopts.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <future>
#include <sys/resource.h>
#include <unistd.h>

namespace {

using namespace HickoryHollow;
using Clock = std::chrono::steady_clock;

constexpr std::size_t replicaCount = 3;

/** Three state nodes that pass messages to each other within the process and count their bytes as framed on links. */
class ReplicaGroup {
public:
    ReplicaGroup(const std::filesystem::path& folder, std::size_t maxBatch)
    {
        m_nodes.resize(replicaCount);
        for (std::size_t i = 0; i < replicaCount; ++i) {
            StateNode::Options options { .core = { .self = nameOf(i) }, .dataFolder = folder / nameOf(i).value(), .maxBatch = maxBatch };
            for (std::size_t j = 0; j < replicaCount; ++j) {
                if (j != i)
                    options.core.peers.insert(nameOf(j));
            }
            m_nodes[i] = std::make_unique<StateNode>(options, [this](const AgreementMessage& message) { deliver(message); });
        }
        m_isReady = true;
        while (!m_nodes[0]->form().empty())
            ::usleep(20'000);
        while (!propose(AdvanceTime {}))
            ::usleep(20'000);
    }
    ~ReplicaGroup() { m_isReady = false; }
    ReplicaGroup(const ReplicaGroup&) = delete;
    ReplicaGroup& operator=(const ReplicaGroup&) = delete;

    /** Number of bytes that all messages so far would have taken on links. */
    std::uint64_t bytes() const { return m_bytes; }
    std::uint64_t messages() const { return m_messages; }

    /** Proposes the command to the replicas in turn, the last leader first, until one commits it. Waits for each outcome. */
    bool propose(const CommandBody& body)
    {
        for (std::size_t i = 0; i < replicaCount; ++i) {
            std::promise<ProposalResult> promise;
            m_nodes[(m_leader + i) % replicaCount]->propose(body, [&](const ProposalResult& result) { promise.set_value(result); });
            if (promise.get_future().get().kind != ProposalResult::Kind::Committed)
                continue;
            m_leader = (m_leader + i) % replicaCount;
            return true;
        }
        return false;
    }

    StateNode& leaderNode() { return *m_nodes[m_leader]; }

private:
    static InstanceId nameOf(std::size_t i) { return InstanceId(fmt::format("s{}", i)); }

    void deliver(const AgreementMessage& message)
    {
        if (!m_isReady)
            return;
        m_bytes += encodeThrift(toWire(message)).size() + 4;
        ++m_messages;
        m_nodes[static_cast<std::size_t>(message.to.value()[1] - '0')]->deliver(message);
    }

    std::atomic<bool> m_isReady = false;
    std::atomic<std::uint64_t> m_bytes = 0;
    std::atomic<std::uint64_t> m_messages = 0;
    std::size_t m_leader = 0;
    std::vector<std::unique_ptr<StateNode>> m_nodes;
};

double cpuSeconds()
{
    rusage usage {};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& time) { return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6; };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

struct Measurements {
    double perSecond = 0; ///< Committed claims a second.
    double p50 = 0; ///< Milliseconds from proposal to commit.
    double p99 = 0; ///< Milliseconds from proposal to commit.
};

/** Keeps `concurrency` claims in flight for the given time. */
Measurements measureClaims(ReplicaGroup& group, std::size_t concurrency, double seconds, const std::string& prefix)
{
    std::mutex mutex;
    std::condition_variable wake;
    std::vector<double> milliseconds;
    std::size_t inFlight = 0;
    std::uint64_t sequence = 0;
    const auto startedAt = Clock::now();
    const auto end = startedAt + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
    std::unique_lock lock(mutex);
    while (Clock::now() < end) {
        wake.wait(lock, [&] { return inFlight < concurrency; });
        ++inFlight;
        ++sequence;
        ClaimWork claim;
        claim.work = { .workspace = WorkspaceId(fmt::format("w{}", sequence % 10)), .service = ServiceId("orders"), .key = IdempotencyKey(fmt::format("{}{}", prefix, sequence)) };
        claim.requestDigest = std::string(64, 'd');
        claim.claimant = { .instance = InstanceId("e1"), .incarnation = Incarnation(1), .sequence = sequence };
        const auto proposedAt = Clock::now();
        lock.unlock();
        group.leaderNode().propose(claim, [&, proposedAt](const ProposalResult& result) {
            const std::lock_guard guard(mutex);
            if (result.kind == ProposalResult::Kind::Committed)
                milliseconds.push_back(std::chrono::duration<double, std::milli>(Clock::now() - proposedAt).count());
            --inFlight;
            wake.notify_one();
        });
        lock.lock();
    }
    wake.wait(lock, [&] { return inFlight == 0; });
    const auto elapsed = std::chrono::duration<double>(Clock::now() - startedAt).count();
    return { .perSecond = static_cast<double>(milliseconds.size()) / elapsed, .p50 = ClassResult::quantile(milliseconds, 0.5), .p99 = ClassResult::quantile(milliseconds, 0.99) };
}

void measureChange(ReplicaGroup& group)
{
    constexpr int changes = 200;
    const std::string text(4000, 'x');
    const auto bytesBefore = group.bytes();
    const auto messagesBefore = group.messages();
    const auto cpuBefore = cpuSeconds();
    const auto startedAt = Clock::now();
    for (int i = 0; i < changes; ++i)
        group.propose(SubmitSettings { .change = ChangeId(fmt::format("c{}", i)), .author = "bench", .expected = SettingsVersion(static_cast<std::uint64_t>(i)), .inventory = text, .rules = text });
    const auto elapsed = std::chrono::duration<double>(Clock::now() - startedAt).count();
    fmt::print("one change of 8000 bytes among {} replicas: {:.0f} bytes, {:.1f} messages, {:.3f} ms of processor time over all replicas, {:.2f} ms to commit (heartbeats included)\n", replicaCount,
        static_cast<double>(group.bytes() - bytesBefore) / changes, static_cast<double>(group.messages() - messagesBefore) / changes, (cpuSeconds() - cpuBefore) * 1000 / changes, elapsed * 1000 / changes);
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("hickory-claims", "Measures claims through three replicas on real folders.");
    auto add = options.add_options();
    add("folder", "Folder for the data folders of the replicas; it is emptied first", cxxopts::value<std::string>()->default_value("run/claims"));
    add("seconds", "Length of a round", cxxopts::value<double>()->default_value("2"));
    add("rounds", "Pairs of rounds", cxxopts::value<int>()->default_value("3"));
    const auto arguments = options.parse(argc, argv);
    const std::filesystem::path folder = arguments["folder"].as<std::string>();
    std::filesystem::remove_all(folder);
    ReplicaGroup single(folder / "single", 1);
    ReplicaGroup grouped(folder / "grouped", 4096);
    for (int round = 1; round <= arguments["rounds"].as<int>(); ++round) {
        for (const auto concurrency : { std::size_t(1), std::size_t(64), std::size_t(512) }) {
            const auto one = measureClaims(single, concurrency, arguments["seconds"].as<double>(), fmt::format("a{}-{}-", round, concurrency));
            const auto many = measureClaims(grouped, concurrency, arguments["seconds"].as<double>(), fmt::format("b{}-{}-", round, concurrency));
            fmt::print("round {} with {:3} open: single sync {:7.0f}/s p50={:.2f} p99={:.2f} ms; grouped {:7.0f}/s p50={:.2f} p99={:.2f} ms\n", round, concurrency, one.perSecond, one.p50, one.p99, many.perSecond, many.p50, many.p99);
        }
    }
    ReplicaGroup fresh(folder / "fresh", 4096);
    measureChange(fresh);
    return 0;
}
