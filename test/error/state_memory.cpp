/** \file
 * Memory of a state instance that recovers, under a limit that ends the process.
 */
#include "base/SeededRandom.h"
#include "state/StateCore.h"
#include "storage/PosixFileSystem.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <string>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace HickoryHollow;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t versions = 1000;
constexpr std::size_t textBytes = 16'000;
// A quarter of the memory whose sixteenth a journal may take, see docs/CAPACITY.md.
constexpr rlim_t allowedBytes = 64'000'000;

StateCore::Options options()
{
    StateCore::Options result { .self = InstanceId("s0") };
    result.compactAfterBytes = 64UL << 20U;
    return result;
}

/** Ticks and flushes until the only replica leads; returns the newest version. */
RoutingVersion lead(StateCore& core, TimePoint& now)
{
    for (int i = 0; i < 500 && !core.currentRouting(now); ++i) {
        now += 10ms;
        core.tick(now);
        core.flush(now);
    }
    const auto* routing = core.currentRouting(now);
    return routing ? routing->version : RoutingVersion(0);
}

/** Runs the function in a process of its own, whose memory no earlier test has used. */
bool runInProcess(const std::function<bool()>& function)
{
    const auto child = ::fork();
    if (child == 0)
        ::_exit(function() ? 0 : 1);
    int status = 0;
    ::waitpid(child, &status, 0);
    return WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

bool writeJournal(const std::string& folder)
{
    const auto files = openDataFolder(folder);
    SeededRandom random(1);
    StateCore core(options(), *files, random);
    TimePoint now(1h);
    if (core.open(now) || !core.form(now).empty())
        return false;
    core.flush(now);
    lead(core, now);
    for (std::uint64_t version = 1; version <= versions; ++version) {
        core.propose(ProposalId(version), RoutingDocument { .version = RoutingVersion(version), .text = std::string(textBytes, 'x') }, LedgerTime(1), now);
        core.flush(now);
    }
    return core.state().routing().version == RoutingVersion(versions);
}

rlim_t addressSpace()
{
    std::ifstream file("/proc/self/statm");
    rlim_t pages = 0;
    file >> pages;
    return pages * static_cast<rlim_t>(::sysconf(_SC_PAGESIZE));
}

/** Recovers, and returns true if it led with the newest version. The process ends if that needs more than `allowedBytes`. */
bool recover(const std::string& folder)
{
    const auto limit = addressSpace() + allowedBytes;
    const rlimit limits { .rlim_cur = limit, .rlim_max = limit };
    ::setrlimit(RLIMIT_AS, &limits);
    const auto files = openDataFolder(folder);
    SeededRandom random(1);
    StateCore core(options(), *files, random);
    TimePoint now(2h);
    return !core.open(now) && lead(core, now) == RoutingVersion(versions);
}

/** As recover(); then the disk is full for some seconds after a change, and the folder is read again and again. */
bool recoverFromFullDisk(const std::string& folder)
{
    const auto limit = addressSpace() + allowedBytes;
    const rlimit limits { .rlim_cur = limit, .rlim_max = limit };
    ::setrlimit(RLIMIT_AS, &limits);
    std::signal(SIGXFSZ, SIG_IGN);
    const auto files = openDataFolder(folder);
    SeededRandom random(1);
    StateCore core(options(), *files, random);
    TimePoint now(2h);
    if (core.open(now) || lead(core, now) != RoutingVersion(versions))
        return false;
    rlimit fileSize {};
    ::getrlimit(RLIMIT_FSIZE, &fileSize);
    const rlimit full { .rlim_cur = 1, .rlim_max = fileSize.rlim_max };
    ::setrlimit(RLIMIT_FSIZE, &full);
    core.propose(ProposalId(1), RoutingDocument { .version = RoutingVersion(versions + 1), .text = std::string(textBytes, 'x') }, LedgerTime(1), now);
    core.flush(now);
    auto hasFailed = static_cast<bool>(core.failure());
    for (const auto end = now + 5s; now < end; now += 10ms) {
        core.tick(now);
        core.flush(now);
        hasFailed = hasFailed && core.failure();
    }
    ::setrlimit(RLIMIT_FSIZE, &fileSize);
    return hasFailed && lead(core, now) == RoutingVersion(versions);
}

} // namespace

TEST_CASE("a state instance recovers from a storm of versions within a quarter of its memory", "[state][memory]")
{
    const auto folder = std::filesystem::temp_directory_path() / ("hickory-state-memory-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    REQUIRE(runInProcess([&folder] { return writeJournal(folder); }));
    CHECK(runInProcess([&folder] { return recover(folder); }));
    std::filesystem::remove_all(folder);
}

TEST_CASE("a state instance whose disk is full for a while reads a large journal again within a quarter of its memory", "[state][memory][disks]")
{
    const auto folder = std::filesystem::temp_directory_path() / ("hickory-full-disk-memory-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    REQUIRE(runInProcess([&folder] { return writeJournal(folder); }));
    CHECK(runInProcess([&folder] { return recoverFromFullDisk(folder); }));
    std::filesystem::remove_all(folder);
}
