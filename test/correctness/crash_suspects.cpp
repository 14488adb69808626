/** \file
 * Finding the part of a prompt that crashes engines: by single observations, and under loads in which such prompts come
 * through all entry instances beside sound ones that share their other parts.
 */
#include "base/SeededRandom.h"
#include "placement/CrashSuspects.h"
#include "placement/PromptGuard.h"
#include "placement/RequestParts.h"

#include <catch2/catch.hpp>
#include <deque>
#include <optional>
#include <string>

using namespace HickoryHollow;
using namespace std::chrono_literals;

namespace {

const PromptPartId guilty(1);
const PromptPartId shared(2);
const TimePoint start(1h);

PromptCrash crash(std::uint64_t server, std::vector<PromptPartId> parts, Duration sentFor = 100ms)
{
    return { .server = ServerStartId(server), .sentFor = sentFor, .age = {}, .parts = std::move(parts) };
}

bool isQuarantined(const CrashSuspects& suspects, PromptPartId part)
{
    const auto quarantined = suspects.findings().quarantined;
    return std::find(quarantined.begin(), quarantined.end(), part) != quarantined.end();
}

/** A service of engines that crash under one part, entry instances, and one state instance. Steps of 10 ms of a fake clock. */
class Fleet {
public:
    struct Options {
        std::uint64_t seed = 1;
        std::uint32_t instances = 9;
        std::uint32_t engines = 9;
        double guiltyPerSecond = 5;
        double soundPerSecond = 20;
        std::uint32_t soundParts = 20; ///< First parts that sound prompts, and the crashing ones, begin with.
        bool isPlain = false; ///< One crashing request that comes again, beside `soundParts` sound ones, all without prompts.
        double ownEndsPerSecond = 0; ///< Servers that end for reasons of their own.
    };

    explicit Fleet(Options options)
        : m_options(options)
        , m_random(options.seed)
        , m_guards(options.instances)
        , m_downUntil(options.engines)
        , m_incarnations(options.engines)
    {
    }

    void run(Duration time)
    {
        for (const auto end = m_now + time; m_now < end; m_now += step) {
            ++m_steps;
            arrive(m_options.soundPerSecond, false);
            if (m_now - start > 5s)
                arrive(m_options.guiltyPerSecond, true);
            advance();
            report();
        }
    }

    std::uint32_t crashes = 0;
    std::optional<TimePoint> thirdCrashAt; ///< Of the crashing requests.
    std::optional<TimePoint> fifthCrashAt;
    std::uint32_t sentAfterThird = 0; ///< Crashing requests that were sent later than 3 s after the third crash.
    std::uint32_t sentLate = 0; ///< Crashing prompts that were sent later than 3 s after the fifth crash.
    std::uint32_t soundRefused = 0;
    std::uint32_t soundSent = 0;

private:
    static constexpr Duration step = 10ms;

    struct Run {
        std::uint32_t instance;
        std::uint32_t engine;
        bool isGuilty;
        Prompt prompt;
        TimePoint sentAt;
        TimePoint endsAt;
    };

    void arrive(double perSecond, bool isGuilty)
    {
        const auto threshold = static_cast<std::uint64_t>(perSecond * 10); // Per 10 ms, of 1000.
        if (m_random.below(1000) >= threshold)
            return;
        Prompt prompt;
        if (!m_options.isPlain || !isGuilty)
            prompt.parts.push_back({ .id = PromptPartId(shared.value() + m_random.below(m_options.soundParts)), .tokens = 10 });
        if (isGuilty)
            prompt.parts.insert(m_random.below(2) == 0 ? prompt.parts.begin() : prompt.parts.end(), { .id = guilty, .tokens = 10 });
        prompt.parts.push_back({ .id = PromptPartId(1000000 + ++m_lastPart), .tokens = 10 });
        const auto instance = static_cast<std::uint32_t>(m_random.below(m_options.instances));
        const auto engine = static_cast<std::uint32_t>(m_random.below(m_options.engines));
        if (m_guards[instance].isQuarantined(sharedPartsOf(prompt))) {
            soundRefused += isGuilty ? 0 : 1;
            return;
        }
        if (m_now < m_downUntil[engine])
            return;
        soundSent += isGuilty ? 0 : 1;
        sentAfterThird += isGuilty && thirdCrashAt && m_now > *thirdCrashAt + 3s ? 1 : 0;
        sentLate += isGuilty && fifthCrashAt && m_now > *fifthCrashAt + 3s ? 1 : 0;
        const auto soundTime = m_options.isPlain ? 20ms + m_random.below(40) * 1ms : 500ms + m_random.below(1500) * 1ms;
        const auto takes = isGuilty ? 50ms + m_random.below(m_options.isPlain ? 80 : 300) * 1ms : soundTime;
        m_runs.push_back({ .instance = instance, .engine = engine, .isGuilty = isGuilty, .prompt = std::move(prompt), .sentAt = m_now, .endsAt = m_now + takes });
    }

    void advance()
    {
        const auto isCrash = [this](const auto& it) { return it.isGuilty && it.endsAt <= m_now; };
        const auto ends = static_cast<std::uint64_t>(m_options.ownEndsPerSecond * 10);
        if (ends > 0 && m_random.below(1000) < ends)
            end(static_cast<std::uint32_t>(m_random.below(m_options.engines)));
        for (auto it = m_runs.begin(); (it = std::find_if(m_runs.begin(), m_runs.end(), isCrash)) != m_runs.end();)
            end(it->engine);
        std::erase_if(m_runs, [this](const auto& it) {
            if (it.endsAt > m_now)
                return false;
            m_guards[it.instance].recordAnswered(sharedPartsOf(it.prompt), m_now);
            return true;
        });
    }

    void end(std::uint32_t engine)
    {
        ++crashes;
        if (crashes == 3)
            thirdCrashAt = m_now;
        if (crashes == 5)
            fifthCrashAt = m_now;
        const BackendId id("engine-" + std::to_string(engine));
        std::erase_if(m_runs, [&](const auto& it) {
            if (it.engine == engine)
                m_guards[it.instance].recordCrash(sharedPartsOf(it.prompt), id, Incarnation(m_incarnations[engine]), m_now - it.sentAt, m_now);
            return it.engine == engine;
        });
        ++m_incarnations[engine];
        m_downUntil[engine] = m_now + 3s;
    }

    // Each instance reports every 150 ms; reports and findings arrive 100 ms later.
    void report()
    {
        for (std::uint32_t i = 0; i < m_guards.size(); ++i) {
            if ((m_steps + i) % 15 == 0)
                m_reports.emplace_back(m_now + 100ms, m_guards[i].takeEvidence(m_now));
        }
        for (; !m_reports.empty() && m_reports.front().first <= m_now; m_reports.pop_front()) {
            for (const auto& it : m_reports.front().second.crashes)
                m_suspects.recordCrash(it, m_now);
            for (const auto& it : m_reports.front().second.answered)
                m_suspects.recordAnswered(it.part, m_now - it.age, m_now);
        }
        if (m_steps % 10 == 0) {
            m_suspects.update(m_now);
            m_findings.emplace_back(m_now + 100ms, m_suspects.findings());
        }
        for (; !m_findings.empty() && m_findings.front().first <= m_now; m_findings.pop_front()) {
            for (auto& it : m_guards)
                it.apply(m_findings.front().second);
        }
    }

    Options m_options;
    SeededRandom m_random;
    std::vector<PromptGuard> m_guards;
    CrashSuspects m_suspects;
    std::vector<TimePoint> m_downUntil;
    std::vector<std::uint64_t> m_incarnations;
    std::vector<Run> m_runs;
    std::deque<std::pair<TimePoint, PromptEvidence>> m_reports;
    std::deque<std::pair<TimePoint, PromptFindings>> m_findings;
    TimePoint m_now = start;
    std::uint64_t m_steps = 0;
    std::uint64_t m_lastPart = 0;
};

} // namespace

TEST_CASE("a part that no engine answers is in quarantine after three crashes one after the other", "[placement]")
{
    CrashSuspects suspects;
    for (std::uint64_t i = 1; i <= 3; ++i)
        suspects.recordCrash(crash(i, { guilty, PromptPartId(100 + i) }), start + i * 1s);
    suspects.update(start + 4s);
    CHECK(isQuarantined(suspects, guilty));
    CHECK(suspects.findings().quarantined.size() == 1);
}

TEST_CASE("many requests that one crash ends count once", "[placement]")
{
    CrashSuspects suspects;
    for (int i = 0; i < 50; ++i)
        suspects.recordCrash(crash(1, { guilty }), start + i * 1ms);
    suspects.update(start + 4s);
    CHECK(suspects.findings().isEmpty());
}

TEST_CASE("requests that were sent before a wave of crashes prove nothing against their parts", "[placement]")
{
    CrashSuspects suspects;
    for (std::uint64_t i = 1; i <= 4; ++i)
        suspects.recordCrash(crash(i, { shared }, 2s), start + i * 20ms);
    suspects.update(start + 2s);
    CHECK_FALSE(isQuarantined(suspects, shared));
    CHECK(suspects.findings().suspects == std::vector<PromptPartId> { shared });
}

TEST_CASE("a part that was answered after its last crash is cleared, also from quarantine", "[placement]")
{
    CrashSuspects suspects;
    for (std::uint64_t i = 1; i <= 5; ++i)
        suspects.recordCrash(crash(i, { shared }), start + i * 1s);
    suspects.update(start + 6s);
    REQUIRE(isQuarantined(suspects, shared));
    CHECK(suspects.recordAnswered(shared, start + 6s, start + 6s));
    CHECK(suspects.findings().isEmpty());
    // A state instance that has not heard of the answer still reports the quarantine.
    suspects.addQuarantined(shared, start + 7s);
    CHECK(suspects.findings().isEmpty());
}

TEST_CASE("a part that was answered before its crashes needs more of them", "[placement]")
{
    CrashSuspects suspects;
    for (std::uint64_t i = 1; i <= 7; ++i) {
        suspects.recordCrash(crash(i, { shared }), start + i * 1s);
        suspects.recordAnswered(shared, start, start + i * 1s);
    }
    suspects.update(start + 9s);
    CHECK_FALSE(isQuarantined(suspects, shared));
    suspects.recordCrash(crash(8, { shared }), start + 10s);
    suspects.update(start + 11s);
    CHECK(isQuarantined(suspects, shared));
}

TEST_CASE("a crash that a part in quarantine explains does not count for the other parts of its prompt", "[placement]")
{
    CrashSuspects suspects;
    suspects.addQuarantined(guilty, start);
    for (std::uint64_t i = 1; i <= 9; ++i)
        suspects.recordCrash(crash(i, { guilty, shared }), start + i * 1s);
    suspects.update(start + 10s);
    CHECK(suspects.findings().suspects.empty());
    CHECK(suspects.findings().quarantined == std::vector<PromptPartId> { guilty });
}

TEST_CASE("a quarantine ends, and a suspicion without further crashes sooner", "[placement]")
{
    CrashSuspects suspects;
    suspects.addQuarantined(guilty, start);
    for (std::uint64_t i = 1; i <= 2; ++i)
        suspects.recordCrash(crash(i, { shared }), start + i * 1s);
    suspects.update(start + 2min);
    CHECK(suspects.findings().suspects.empty());
    CHECK(isQuarantined(suspects, guilty));
    suspects.update(start + 2h);
    CHECK_FALSE(isQuarantined(suspects, guilty));
    suspects.update(start + 2h);
    CHECK(suspects.findings().isEmpty());
}

TEST_CASE("after a quarantine the first crash leads to a longer one, and an answer clears the part", "[placement]")
{
    CrashSuspects suspects;
    suspects.addQuarantined(guilty, start);
    suspects.update(start + 6min);
    REQUIRE_FALSE(isQuarantined(suspects, guilty));
    CHECK(suspects.findings().suspects == std::vector<PromptPartId> { guilty });
    suspects.recordCrash(crash(1, { guilty }), start + 6min);
    suspects.update(start + 6min);
    CHECK(isQuarantined(suspects, guilty));
    suspects.update(start + 15min);
    CHECK(isQuarantined(suspects, guilty));
    suspects.update(start + 17min);
    REQUIRE_FALSE(isQuarantined(suspects, guilty));
    suspects.recordAnswered(guilty, start + 17min, start + 17min);
    CHECK(suspects.findings().isEmpty());
}

TEST_CASE("a stream that has gone on for a second proves its parts sound, so that a wave of crashes does not", "[placement]")
{
    Prompt prompt;
    prompt.parts = { { .id = shared, .tokens = 1 }, { .id = PromptPartId(9), .tokens = 1 } };
    PromptGuard guard;
    guard.apply({ .suspects = { shared }, .quarantined = {} });
    CHECK_FALSE(guard.recordProgress(sharedPartsOf(prompt), start, start + 999ms));
    CHECK(guard.takeEvidence(start + 999ms).answered.empty());
    CHECK(guard.recordProgress(sharedPartsOf(prompt), start, start + 1s));
    const auto evidence = guard.takeEvidence(start + 1s);
    REQUIRE(evidence.answered.size() == 1);
    CHECK(evidence.answered[0].part == shared);

    CrashSuspects suspects;
    for (std::uint64_t i = 1; i <= 40; ++i)
        suspects.recordCrash(crash(i, { shared }, 2s), start + 2s);
    suspects.recordAnswered(shared, start + 1s, start + 2s);
    suspects.update(start + 4s);
    CHECK_FALSE(isQuarantined(suspects, shared));
}

TEST_CASE("the last part of a prompt is never reported", "[placement]")
{
    PromptGuard guard;
    Prompt prompt;
    prompt.parts = { { .id = guilty, .tokens = 1 } };
    guard.recordCrash(sharedPartsOf(prompt), BackendId("s"), Incarnation(1), 1s, start);
    CHECK(guard.takeEvidence(start).isEmpty());
    prompt.parts.push_back({ .id = PromptPartId(9), .tokens = 1 });
    guard.recordCrash(sharedPartsOf(prompt), BackendId("s"), Incarnation(1), 1s, start);
    const auto evidence = guard.takeEvidence(start + 1s);
    REQUIRE(evidence.crashes.size() == 1);
    CHECK(evidence.crashes[0].parts == std::vector<PromptPartId> { guilty });
    CHECK(evidence.crashes[0].age == 1s);
}

TEST_CASE("crashing prompts through all instances end few engines, and no sound prompt is refused for long", "[placement]")
{
    const auto options = GENERATE(
        Fleet::Options {},
        Fleet::Options { .guiltyPerSecond = 1 },
        Fleet::Options { .guiltyPerSecond = 50 },
        // Hardly any sound prompts, all with the same first part.
        Fleet::Options { .soundPerSecond = 2, .soundParts = 1 },
        Fleet::Options { .instances = 295, .engines = 60, .guiltyPerSecond = 10, .soundPerSecond = 90, .soundParts = 40 });
    const std::uint64_t seed = GENERATE(range(std::uint64_t { 1 }, std::uint64_t { 21 }));
    CAPTURE(seed, options.instances, options.guiltyPerSecond, options.soundPerSecond);
    auto seeded = options;
    seeded.seed = seed;
    Fleet fleet(seeded);
    fleet.run(40s);
    // Three are allowed once the fifth crash is 3 s old.
    CHECK(fleet.sentLate <= 3);
    CHECK(fleet.crashes <= 30);
    // Half of the sound prompts that share a caller or first part must still be served.
    CHECK(fleet.soundRefused * 10 <= fleet.soundSent);
}

TEST_CASE("a crashing request that comes again through all instances ends few servers, and sound ones that come as often are served", "[placement]")
{
    const auto options = GENERATE(
        Fleet::Options { .engines = 4, .guiltyPerSecond = 5, .soundPerSecond = 20, .soundParts = 5, .isPlain = true },
        Fleet::Options { .engines = 4, .guiltyPerSecond = 1, .soundPerSecond = 60, .soundParts = 1, .isPlain = true },
        // A service with one server.
        Fleet::Options { .engines = 1, .guiltyPerSecond = 3, .soundPerSecond = 30, .soundParts = 2, .isPlain = true },
        Fleet::Options { .instances = 300, .engines = 5, .guiltyPerSecond = 20, .soundPerSecond = 90, .soundParts = 30, .isPlain = true });
    const std::uint64_t seed = GENERATE(range(std::uint64_t { 1 }, std::uint64_t { 21 }));
    CAPTURE(seed, options.instances, options.engines, options.guiltyPerSecond, options.soundPerSecond);
    auto seeded = options;
    seeded.seed = seed;
    Fleet fleet(seeded);
    fleet.run(40s);
    // Three are allowed once the third crash is 3 s old.
    CHECK(fleet.sentAfterThird <= 3);
    CHECK(fleet.soundRefused * 10 <= fleet.soundSent);
}

TEST_CASE("requests that many callers send are served while servers end for reasons of their own", "[placement]")
{
    const std::uint64_t seed = GENERATE(range(std::uint64_t { 1 }, std::uint64_t { 21 }));
    CAPTURE(seed);
    Fleet fleet({ .seed = seed, .engines = 4, .guiltyPerSecond = 0, .soundPerSecond = 80, .soundParts = 2, .isPlain = true, .ownEndsPerSecond = 2 });
    fleet.run(60s);
    CHECK(fleet.crashes > 20);
    CHECK(fleet.soundRefused == 0);
}

TEST_CASE("a request that was on every server that ended is released once another explains these ends and more", "[placement]")
{
    CrashSuspects suspects;
    const PromptPartId popular(7);
    for (std::uint64_t i = 0; i < 3; ++i)
        suspects.recordCrash(crash(i, { popular }), start + i * 1s);
    CHECK(suspects.update(start + 4s).quarantined.size() == 1);
    for (std::uint64_t i = 0; i < 4; ++i)
        suspects.recordCrash(crash(i, { guilty }), start + i * 1s);
    const auto changes = suspects.update(start + 5s);
    REQUIRE(changes.quarantined.size() == 1);
    CHECK(changes.quarantined[0].part == guilty);
    CHECK(changes.released == std::vector<PromptPartId> { popular });
    CHECK_FALSE(isQuarantined(suspects, popular));
    // A report of another instance that has not found it yet does not bring it back.
    suspects.addQuarantined(popular, start + 5s);
    CHECK_FALSE(isQuarantined(suspects, popular));
}

TEST_CASE("a state instance that has forgotten the crashes of a request learns of them on a new link", "[placement]")
{
    PromptGuard guard;
    const auto crashAt = [&guard](const std::string& address, TimePoint now) { guard.recordCrash({ guilty }, BackendId(address), Incarnation(1), 10ms, now); };
    CrashSuspects before;
    crashAt("10.0.0.1:1", start);
    crashAt("10.0.0.2:1", start + 1s);
    before.record(guard.takeEvidence(start + 1s), start + 1s);
    CHECK(guard.takeEvidence(start + 1s).isEmpty());

    // The state instance restarts, and the instance attaches to it again.
    CrashSuspects after;
    guard.reportAll();
    after.record(guard.takeEvidence(start + 2s), start + 2s);
    crashAt("10.0.0.3:1", start + 3s);
    after.record(guard.takeEvidence(start + 3s), start + 3s);
    after.update(start + 4s);
    CHECK(isQuarantined(after, guilty));
    // A state instance that remembers them does not count them twice.
    const auto repeated = GENERATE(1, 2, 5);
    for (int i = 0; i < repeated; ++i) {
        guard.reportAll();
        auto evidence = guard.takeEvidence(start + 3s);
        CHECK(evidence.crashes.size() == 3);
        evidence.crashes.resize(2);
        before.record(evidence, start + 3s);
    }
    before.update(start + 4s);
    CHECK_FALSE(isQuarantined(before, guilty));
    // Crashes as old as a suspicion lasts are not reported any more.
    guard.takeEvidence(start + 2min);
    guard.reportAll();
    CHECK(guard.takeEvidence(start + 2min).crashes.empty());
}
