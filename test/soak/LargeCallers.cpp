#include "soak/LargeCallers.h"

#include "base/SeededRandom.h"
#include "soak/Backend.h"
#include "soak/BlockingHttpClient.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>

namespace HickoryHollow::Soak {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t bodyBytes = 4UL << 20U; // The configuration's default limit.
constexpr std::size_t memoryBytes = 88'000'000; // The default of an instance's settings.
constexpr auto callerTimeout = 6s;
constexpr auto requestPause = 100ms;
constexpr auto watchInterval = 5ms;
constexpr std::size_t slowPieceBytes = 128UL << 10U;
constexpr auto slowPause = 40ms; // A slow body takes more than a second.

SendPace drawPace(SeededRandom& random)
{
    const auto isSlow = random.below(3) == 0;
    return { .isChunked = random.below(2) == 0, .pieceBytes = isSlow ? slowPieceBytes : 0, .pause = isSlow ? slowPause : 0ms };
}

} // namespace

LargeCallers::LargeCallers(Deployment& deployment, GuaranteeChecker& checker, int callers, std::uint64_t seed)
    : m_deployment(deployment)
    , m_checker(checker)
{
    m_threads.emplace_back([this] { watch(); });
    for (int i = 0; i < callers; ++i)
        m_threads.emplace_back([this, i, seed] { run(i, seed); });
}

LargeCallers::~LargeCallers()
{
    m_isStopping = true;
    for (auto& it : m_threads)
        it.join();
}

void LargeCallers::run(int number, std::uint64_t seed)
{
    SeededRandom random(seed * 1000 + static_cast<std::uint64_t>(number));
    const std::string body(bodyBytes, 'b');
    for (int request = 0; !m_isStopping; ++request) {
        // All callers of a round meet at one entry instance.
        BlockingHttpClient client(m_deployment.callerAddress(request % m_deployment.options().entries), callerTimeout);
        const auto id = fmt::format("s-large-{}-{}", number, request);
        m_checker.recordRequest(id);
        const auto answer = client.call("POST", "/o/x", { { "Host", "h.example" }, { "Attempt-Id", id }, { "Deadline-Ms", "4000" }, { "Authorization", "Bearer " + permanentKey } }, body, drawPace(random));
        m_checker.recordResponse(id, answer.status);
        if (answer.status == 200 && answer.body != expectedBody(id))
            m_checker.recordViolation("answers are complete and unmixed", id + " got another body");
        if (answer.status == 413)
            m_checker.recordViolation("permitted bodies are not too large", id + " got status 413");
        m_served += answer.status == 200 ? 1 : 0;
        std::this_thread::sleep_for(requestPause);
    }
}

void LargeCallers::watch()
{
    while (!m_isStopping) {
        for (int i = 0; i < m_deployment.processCount(); ++i) {
            const auto used = m_deployment.process(i).residentBytes();
            m_mostResidentBytes = std::max(m_mostResidentBytes.load(), used);
            if (used <= memoryBytes)
                continue;
            m_checker.recordViolation("instances keep within their memory", fmt::format("n{} uses {} bytes of {}", i, used, memoryBytes));
            m_deployment.process(i).sendSignal(SIGKILL);
            std::this_thread::sleep_for(1s);
        }
        std::this_thread::sleep_for(watchInterval);
    }
}

} // namespace HickoryHollow::Soak
