/** \file
 * Random and mutated input to everything that reads bytes from outside: no crash, and what is accepted is whole.
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

constexpr int rounds = 2000;

} // namespace

TEST_CASE("mutated announcements are taken whole or named as wrong", "[fuzz]")
{
    constexpr std::uint64_t seed = 11;
    SeededRandom random(seed);
    const std::string sound = R"({"address":"10.0.0.1:9","incarnation":3,"sequence":1,"service":"s","models":["m"],"failure_domain":"a","slots":4,"capabilities":{"resume":true},"load":{"running":1,"queued":0,"age_ms":5}})";
    int accepted = 0;
    for (int i = 0; i < rounds; ++i) {
        const auto parsed = parseAnnouncement(mutated(sound, random));
        if (const auto* fault = std::get_if<std::string>(&parsed)) {
            CHECK_FALSE(fault->empty());
            continue;
        }
        ++accepted;
        const auto& record = std::get<Announcement>(parsed).record;
        CHECK(record.slots >= 1);
        CHECK_FALSE(record.service.value().empty());
    }
    fmt::print("announcements: seed {}, {} of {} mutants accepted\n", seed, accepted, rounds);
}

TEST_CASE("mutated settings are accepted whole or complained about", "[fuzz]")
{
    constexpr std::uint64_t seed = 12;
    SeededRandom random(seed);
    const std::string inventory = "[service s]\nmodels = m\n[service o]\nkind = plain\npath = /o\n[workspace w]\nkey-sha256 = " + std::string(64, 'a') + "\nclasses = chat\n";
    const std::string rules = "[class chat]\ntier = 2\nprotected = true\n[once-only]\nservices = o\n[queue]\nrequests = 5\n";
    for (int i = 0; i < rounds; ++i) {
        Diagnostics complaints;
        const auto settings = parseRoutingSettings({ .inventory = mutated(inventory, random), .rules = mutated(rules, random) }, SettingsVersion(1), complaints);
        CHECK((settings != nullptr) == complaints.empty());
    }
}

TEST_CASE("mutated records and messages of our own do no harm", "[fuzz]")
{
    constexpr std::uint64_t seed = 13;
    SeededRandom random(seed);
    const auto command = encodeCommand({ .time = LedgerTime(5), .body = SubmitSettings { .change = ChangeId("c"), .author = "a", .expected = SettingsVersion(1), .inventory = "i", .rules = "r" } });
    const auto batch = encodeBatch({ VoteRecord { .term = Term(3), .votedFor = ReplicaId(9) }, EntriesRecord { .first = LogIndex(1), .entries = { { .term = Term(1), .kind = LogEntry::Kind::Command, .command = command } } } });
    const auto frame = makeFrame(batch);
    for (int i = 0; i < rounds; ++i) {
        decodeCommand(mutated(command, random));
        decodeBatch(mutated(batch, random));
        const auto changed = mutated(frame, random);
        const auto payload = readFrame(changed);
        CHECK((!payload || *payload == batch));
    }
}

TEST_CASE("a stream of events comes out the same however it is cut", "[fuzz]")
{
    constexpr std::uint64_t seed = 14;
    SeededRandom random(seed);
    const std::string stream = "data: {\"a\":1}\n\ndata: {\"b\":2}\r\n\r\n: comment\n\ndata:{\"c\":3}\n\ndata: [DONE]\n\n";
    for (int i = 0; i < rounds; ++i) {
        EventStreamScanner scanner;
        std::string out;
        for (std::size_t at = 0; at < stream.size();) {
            const auto n = 1 + random.below(12);
            out += scanner.feed(std::string_view(stream).substr(at, n));
            at += n;
        }
        CHECK(out == stream);
        CHECK(scanner.isComplete());
        CHECK(scanner.events() == 3);
    }
}
