/** \file
 * The journal with an error or a crash at every file operation, with its log truncated at every byte, and with damaged
 * files. Guards against losing acknowledged batches and against using damaged data.
 */
#include "base/SeededRandom.h"
#include "storage/Journal.h"
#include "test/fakes/FakeFileSystem.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace HickoryHollow;
using Fakes::FakeFileSystem;

namespace {

constexpr int batchesPerRun = 12;
constexpr int batchesPerCompaction = 4;

/** All recovered batches, whether they are in the snapshot (four bytes for each batch) or in the log. */
std::vector<std::string> contentsOf(const Journal::Recovered& recovered)
{
    std::vector<std::string> contents;
    std::string snapshot = recovered.snapshot.value_or("");
    for (std::size_t at = 0; at < snapshot.size(); at += 4)
        contents.push_back(snapshot.substr(at, 4));
    contents.insert(contents.end(), recovered.batches.begin(), recovered.batches.end());
    return contents;
}

/** Opens the journal and appends batches up to the first failure. Returns the recovered and the acknowledged batches. */
std::vector<std::string> writeAll(FakeFileSystem& files)
{
    Journal journal(files);
    Journal::Recovered recovered;
    std::vector<std::string> acknowledged;
    if (journal.open(recovered))
        return acknowledged;
    acknowledged = contentsOf(recovered);
    for (int i = 0; i < batchesPerRun; ++i) {
        const auto batch = fmt::format("b{:03}", acknowledged.size());
        if (journal.append(batch))
            break;
        acknowledged.push_back(batch);
        if (i % batchesPerCompaction != batchesPerCompaction - 1)
            continue;
        std::string snapshot;
        for (const auto& it : acknowledged)
            snapshot += it;
        if (journal.compact(snapshot))
            break;
    }
    return acknowledged;
}

std::vector<std::string> recover(FakeFileSystem& files)
{
    Journal journal(files);
    Journal::Recovered recovered;
    const auto ec = journal.open(recovered);
    INFO(ec.message());
    REQUIRE_FALSE(ec);
    return contentsOf(recovered);
}

std::string logOfThreeBatches()
{
    FakeFileSystem files;
    Journal journal(files);
    Journal::Recovered none;
    REQUIRE_FALSE(journal.open(none));
    for (int i = 0; i < 3; ++i)
        REQUIRE_FALSE(journal.append(fmt::format("b{:03}", i)));
    return files.bytesOf("log-0");
}

bool startsWith(const std::vector<std::string>& batches, const std::vector<std::string>& prefix)
{
    return batches.size() >= prefix.size() && std::equal(prefix.begin(), prefix.end(), batches.begin());
}

} // namespace

TEST_CASE("a fault at any file operation loses no acknowledged batch and adds at most the one in progress", "[storage][matrix]")
{
    FakeFileSystem clean;
    writeAll(clean);
    const auto operations = clean.operations();
    int cases = 0;
    for (const auto fault : { FakeFileSystem::Fault::Error, FakeFileSystem::Fault::Crash }) {
        for (const auto losesPower : { false, true }) {
            for (std::uint64_t operation = 1; operation <= operations; ++operation) {
                CAPTURE(operation, losesPower, static_cast<int>(fault));
                SeededRandom random(operation);
                FakeFileSystem files;
                files.failAt(operation, fault);
                const auto acknowledged = writeAll(files);
                if (losesPower)
                    files.losePower(random);
                else
                    files.restart();
                const auto found = recover(files);
                CHECK(startsWith(found, acknowledged));
                CHECK(found.size() <= acknowledged.size() + 1);
                // The recovered journal accepts further batches.
                const auto more = writeAll(files);
                CHECK(more.size() == found.size() + batchesPerRun);
                CHECK(recover(files) == more);
                ++cases;
            }
        }
    }
    fmt::print("journal matrix: {} cases, seeds 1 to {}\n", cases, operations);
    CHECK(cases > 100);
}

TEST_CASE("batches recovered after a process was killed survive a power loss right after the restart", "[storage]")
{
    FakeFileSystem clean;
    writeAll(clean);
    for (std::uint64_t operation = 1; operation <= clean.operations(); ++operation) {
        CAPTURE(operation);
        SeededRandom random(operation);
        FakeFileSystem files;
        files.failAt(operation, FakeFileSystem::Fault::Crash);
        writeAll(files);
        files.restart();
        const auto recovered = recover(files);
        files.losePower(random);
        CHECK(startsWith(recover(files), recovered));
    }
}

TEST_CASE("a log truncated at any byte yields the complete batches before that byte", "[storage]")
{
    const auto log = logOfThreeBatches();
    for (std::size_t length = 0; length <= log.size(); ++length) {
        CAPTURE(length);
        FakeFileSystem truncated;
        truncated.replaceWith({ { "log-0", log.substr(0, length) } });
        CHECK(recover(truncated).size() == length * 3 / log.size());
    }
}

TEST_CASE("a changed byte anywhere before a valid frame is reported as damage", "[storage]")
{
    const auto log = logOfThreeBatches();
    const auto lastFrame = log.size() / 3 * 2;
    for (std::size_t at = 0; at < log.size(); ++at) {
        CAPTURE(at);
        auto bytes = log;
        bytes[at] = static_cast<char>(bytes[at] ^ 0x40);
        FakeFileSystem damaged;
        damaged.replaceWith({ { "log-0", bytes } });
        Journal reader(damaged);
        Journal::Recovered recovered;
        const auto ec = reader.open(recovered);
        if (at < lastFrame)
            CHECK(ec == JournalError::Damaged);
        else
            CHECK(recovered.batches.size() == 2);
    }
}

TEST_CASE("a damaged snapshot is reported as damage and not treated as an empty folder", "[storage]")
{
    FakeFileSystem files;
    writeAll(files);
    REQUIRE(files.has("snapshot-3"));
    files.bytesOf("snapshot-3")[20] ^= 1;
    Journal journal(files);
    Journal::Recovered recovered;
    CHECK(journal.open(recovered) == JournalError::Damaged);
}

TEST_CASE("after a failed sync the journal accepts no further batches", "[storage]")
{
    FakeFileSystem files;
    Journal journal(files);
    Journal::Recovered recovered;
    REQUIRE_FALSE(journal.open(recovered));
    files.failAt(2, FakeFileSystem::Fault::Error);
    CHECK(journal.append("one"));
    CHECK(journal.append("two") == JournalError::Failed);
}

TEST_CASE("a batch whose sync failed takes no later one with it at a power loss", "[storage]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        SeededRandom random(seed);
        FakeFileSystem files;
        files.dropUnsyncedOnFailure();
        Journal journal(files);
        Journal::Recovered recovered;
        REQUIRE_FALSE(journal.open(recovered));
        REQUIRE_FALSE(journal.append("one"));
        files.setFull(FakeFileSystem::Full::Syncs);
        CHECK(journal.append("two"));
        // The folder cannot be opened while the disk is full.
        CHECK(journal.open(recovered));
        files.setFull(FakeFileSystem::Full::Nothing);
        REQUIRE_FALSE(journal.open(recovered));
        CHECK(recovered.batches == std::vector<std::string> { "one" });
        REQUIRE_FALSE(journal.append("three"));
        files.losePower(random);
        CHECK(recover(files) == std::vector<std::string> { "one", "three" });
    }
}
