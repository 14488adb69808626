/** \file
 * The journal under an error or a crash at every operation, at every byte of its tail, and under damage.
 */
#include "base/SeededRandom.h"
#include "storage/Journal.h"
#include "test/fakes/FakeFileSystem.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace HickoryHollow;
using Fakes::FakeFileSystem;

namespace {

constexpr int batches = 12;
constexpr int compactEvery = 4;

/** Contents as one list, whatever the generation. */
std::vector<std::string> contentsOf(const Journal::Recovered& recovered)
{
    std::vector<std::string> all;
    std::string snapshot = recovered.snapshot.value_or("");
    for (std::size_t at = 0; at < snapshot.size(); at += 4)
        all.push_back(snapshot.substr(at, 4));
    all.insert(all.end(), recovered.batches.begin(), recovered.batches.end());
    return all;
}

/** Appends until something fails; returns what was acknowledged. */
std::vector<std::string> writeAll(FakeFileSystem& files)
{
    Journal journal(files);
    Journal::Recovered recovered;
    std::vector<std::string> acknowledged;
    if (journal.open(recovered))
        return acknowledged;
    acknowledged = contentsOf(recovered);
    for (int i = 0; i < batches; ++i) {
        const auto batch = fmt::format("b{:03}", acknowledged.size());
        if (journal.append(batch))
            break;
        acknowledged.push_back(batch);
        if (i % compactEvery != compactEvery - 1)
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

bool startsWith(const std::vector<std::string>& whole, const std::vector<std::string>& start)
{
    return whole.size() >= start.size() && std::equal(start.begin(), start.end(), whole.begin());
}

} // namespace

TEST_CASE("nothing acknowledged is lost by a fault at any operation, and nothing is made up", "[storage][matrix]")
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
                // It goes on from there.
                const auto more = writeAll(files);
                CHECK(more.size() == found.size() + batches);
                CHECK(recover(files) == more);
                ++cases;
            }
        }
    }
    fmt::print("journal matrix: {} cases, seeds 1 to {}\n", cases, operations);
    CHECK(cases > 100);
}

TEST_CASE("a power loss right after a killed process was restarted loses nothing that was read", "[storage]")
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
        const auto read = recover(files);
        files.losePower(random);
        CHECK(startsWith(recover(files), read));
    }
}

TEST_CASE("a log cut at any byte yields the whole batches before the cut", "[storage]")
{
    const auto whole = logOfThreeBatches();
    for (std::size_t length = 0; length <= whole.size(); ++length) {
        CAPTURE(length);
        FakeFileSystem cut;
        cut.replaceWith({ { "log-0", whole.substr(0, length) } });
        CHECK(recover(cut).size() == length * 3 / whole.size());
    }
}

TEST_CASE("a changed byte before sound records is damage, at every byte", "[storage]")
{
    const auto whole = logOfThreeBatches();
    const auto lastFrame = whole.size() / 3 * 2;
    for (std::size_t at = 0; at < whole.size(); ++at) {
        CAPTURE(at);
        auto bytes = whole;
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

TEST_CASE("a damaged snapshot is not taken for an empty folder", "[storage]")
{
    FakeFileSystem files;
    writeAll(files);
    REQUIRE(files.has("snapshot-3"));
    files.bytesOf("snapshot-3")[20] ^= 1;
    Journal journal(files);
    Journal::Recovered recovered;
    CHECK(journal.open(recovered) == JournalError::Damaged);
}

TEST_CASE("after a failed sync nothing more is accepted", "[storage]")
{
    FakeFileSystem files;
    Journal journal(files);
    Journal::Recovered recovered;
    REQUIRE_FALSE(journal.open(recovered));
    files.failAt(2, FakeFileSystem::Fault::Error);
    CHECK(journal.append("one"));
    CHECK(journal.append("two") == JournalError::Failed);
}
