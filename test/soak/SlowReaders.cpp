#include "soak/SlowReaders.h"

#include "base/SeededRandom.h"
#include "soak/Backend.h"
#include "soak/BlockingHttpClient.h"

#include <fmt/format.h>
#include <memory>

namespace HickoryHollow::Soak {

namespace {

using namespace std::chrono_literals;

constexpr auto callerTimeout = 4s;
constexpr auto readPause = 40ms;
constexpr std::uint64_t piecesPerStream = 48;
constexpr auto longestStream = 2600ms; // Reading it, and some time for the first event on a busy machine.
constexpr std::chrono::milliseconds graceTime { 4000 }; // `drain-s` of the settings.
constexpr auto lastSixth = graceTime * 5 / 6; // From then on the rule excuses what still runs.
constexpr std::uint64_t longestPause = 300; // In milliseconds.
constexpr int readersPerEntry = 2;

} // namespace

SlowReaders::SlowReaders(const Deployment& deployment, GuaranteeChecker& checker, std::uint64_t seed)
    : m_deployment(deployment)
    , m_checker(checker)
{
    for (int i = 0; i < readersPerEntry * deployment.options().entries; ++i)
        m_threads.emplace_back([this, i, seed] { run(i, seed); });
}

SlowReaders::~SlowReaders()
{
    m_isStopping = true;
    for (auto& it : m_threads)
        it.join();
}

void SlowReaders::recordStop(int instance)
{
    const std::lock_guard guard(m_mutex);
    m_stops[instance].push_back(Clock::now());
}

std::string SlowReaders::summary() const
{
    return fmt::format("streams read slowly: {} to their end, {} of them with a stop in between", m_read.load(), m_acrossStops.load());
}

Clock::time_point SlowReaders::lastStop(int instance, Clock::time_point before) const
{
    const std::lock_guard guard(m_mutex);
    Clock::time_point last {};
    const auto stops = m_stops.find(instance);
    for (const auto& it : stops == m_stops.end() ? std::vector<Clock::time_point>() : stops->second) {
        if (it < before)
            last = it;
    }
    return last;
}

void SlowReaders::run(int number, std::uint64_t seed)
{
    SeededRandom random(seed * 1000 + static_cast<std::uint64_t>(number));
    std::unique_ptr<BlockingHttpClient> client;
    int entry = 0;
    for (int stream = 0; !m_isStopping; ++stream) {
        if (!client) {
            entry = static_cast<int>(random.below(static_cast<std::uint64_t>(m_deployment.options().entries)));
            client = std::make_unique<BlockingHttpClient>(m_deployment.directCallerAddress(entry), callerTimeout);
        }
        const auto instance = m_deployment.options().states + entry;
        const auto id = fmt::format("s-slow-{}-{}", number, stream);
        const auto& path = random.below(2) == 0 ? slowPath : slowOncePath;
        // The larger ones exceed what sockets take in advance, so that the instance itself waits for the caller.
        const std::size_t eventBytes = random.below(4) == 0 ? 256UL << 10U : 4UL << 10U;
        const ReadPace pace { .pieceBytes = slowEvents * eventBytes / piecesPerStream, .pause = readPause };
        m_checker.recordRequest(id);
        const auto sentAt = Clock::now();
        const auto answer = client->call("POST", path, { { "Host", "h.example" }, { "Attempt-Id", id }, { "Deadline-Ms", "4000" }, { "Authorization", "Bearer " + permanentKey } }, std::to_string(eventBytes), {}, pace);
        m_checker.recordResponse(id, answer.status);
        if (answer.status == 200) {
            if (answer.body != expectedSlowStream(id, eventBytes))
                m_checker.recordViolation("answers are complete and unmixed", fmt::format("{} got a stream of {} bytes that is not its own", id, answer.body.size()));
            ++m_read;
            m_acrossStops += lastStop(instance, Clock::now()) > sentAt ? 1 : 0;
        } else {
            if (answer.status == 0)
                judgeLoss(id, instance, sentAt, answer.body.size());
            client.reset();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(random.below(longestPause)));
    }
}

void SlowReaders::judgeLoss(const std::string& id, int instance, Clock::time_point sentAt, std::size_t bytes)
{
    const auto now = Clock::now();
    const auto stop = lastStop(instance, now);
    const auto inStop = now - stop;
    const auto couldEndInTime = inStop > graceTime + 1s || sentAt + longestStream <= stop + lastSixth;
    if (!m_checker.hasRun(id) || m_checker.isBrokenOff(id) || now - sentAt >= callerTimeout || !couldEndInTime)
        return;
    const auto ms = [](Clock::duration it) { return std::chrono::duration_cast<std::chrono::milliseconds>(it).count(); };
    m_checker.recordViolation("a planned stop cuts no stream", fmt::format("{} ran and ended after {} bytes through n{}, {} ms after it was sent, {}{}", id, bytes, instance, ms(now - sentAt), stop == Clock::time_point {} ? "with no stop before" : fmt::format("{} ms after SIGTERM", ms(inStop)), m_checker.hasWholeAnswer(id) ? "; its server had answered wholly" : ""));
}

} // namespace HickoryHollow::Soak
