/** \file
 * Mutated input to the parsers of announcements, settings, journal data and event streams. Guards against crashes and
 * against accepting incomplete or corrupted input.
 */
#include "base/SeededRandom.h"
#include "entry/AnnouncementJson.h"
#include "http/EventStreamScanner.h"
#include "settings/DaemonSettings.h"
#include "settings/RoutingSettings.h"
#include "storage/Frame.h"
#include "test/fuzz/Mutation.h"
#include "wire/AgreementCodec.h"
#include "wire/LedgerCodec.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace HickoryHollow;
using HickoryHollow::Fakes::mutated;

namespace {

constexpr int casesPerTest = 2000;

} // namespace

TEST_CASE("a mutated announcement is either accepted with valid contents or rejected with an error", "[fuzz]")
{
    constexpr std::uint64_t seed = 11;
    SeededRandom random(seed);
    const std::string valid = R"({"address":"10.0.0.1:9","incarnation":3,"sequence":1,"service":"s","models":["m"],"failure_domain":"a","slots":4,"capabilities":{"resume":true},"load":{"running":1,"queued":0,"age_ms":5}})";
    int accepted = 0;
    for (int i = 0; i < casesPerTest; ++i) {
        const auto parsed = parseAnnouncement(mutated(valid, random));
        if (const auto* error = std::get_if<std::string>(&parsed)) {
            CHECK_FALSE(error->empty());
            continue;
        }
        ++accepted;
        const auto& record = std::get<Announcement>(parsed).record;
        CHECK(record.slots >= 1);
        CHECK_FALSE(record.service.value().empty());
    }
    fmt::print("announcements: seed {}, {} of {} mutants accepted\n", seed, accepted, casesPerTest);
}

TEST_CASE("mutated settings are either accepted or rejected with diagnostics", "[fuzz]")
{
    constexpr std::uint64_t seed = 12;
    SeededRandom random(seed);
    const std::string inventory = "[service s]\nmodels = m\n[service o]\nkind = plain\npath = /o\n[workspace w]\nkey-sha256 = " + std::string(64, 'a') + "\nclasses = chat\n";
    const std::string rules = "[class chat]\ntier = 2\nprotected = true\n[once-only]\nservices = o\n[queue]\nrequests = 5\n";
    for (int i = 0; i < casesPerTest; ++i) {
        Diagnostics diagnostics;
        const auto settings = parseRoutingSettings({ .inventory = mutated(inventory, random), .rules = mutated(rules, random) }, SettingsVersion(1), diagnostics);
        CHECK((settings != nullptr) == diagnostics.empty());
    }
}

TEST_CASE("mutated commands and journal data neither crash the decoders nor pass as another payload", "[fuzz]")
{
    constexpr std::uint64_t seed = 13;
    SeededRandom random(seed);
    const auto command = encodeCommand({ .time = LedgerTime(5), .body = SubmitSettings { .change = ChangeId("c"), .author = "a", .expected = SettingsVersion(1), .inventory = "i", .rules = "r" } });
    const auto batch = encodeBatch({ VoteRecord { .term = Term(3), .votedFor = ReplicaId(9) }, EntriesRecord { .first = LogIndex(1), .entries = { { .term = Term(1), .kind = LogEntry::Kind::Command, .command = command } } } });
    const auto frame = makeFrame(batch);
    for (int i = 0; i < casesPerTest; ++i) {
        decodeCommand(mutated(command, random));
        decodeBatch(mutated(batch, random));
        const auto changed = mutated(frame, random);
        const auto payload = readFrame(changed);
        CHECK((!payload || *payload == batch));
    }
}

TEST_CASE("an event stream passes unchanged however it is split into chunks", "[fuzz]")
{
    constexpr std::uint64_t seed = 14;
    SeededRandom random(seed);
    const std::string stream = "data: {\"a\":1}\n\ndata: {\"b\":2}\r\n\r\n: comment\n\ndata:{\"c\":3}\n\ndata: [DONE]\n\n";
    for (int i = 0; i < casesPerTest; ++i) {
        EventStreamScanner scanner;
        std::string out;
        for (std::size_t at = 0; at < stream.size();) {
            const auto n = 1 + random.below(12);
            out += scanner.feed(std::string_view(stream).substr(at, n));
            at += n;
        }
        CHECK(out == stream);
        CHECK(scanner.isComplete());
        CHECK(scanner.eventCount() == 3);
    }
}
