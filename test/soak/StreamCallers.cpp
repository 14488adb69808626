#include "soak/StreamCallers.h"

#include "soak/Backend.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace HickoryHollow::Soak {

namespace {

using namespace std::chrono_literals;

constexpr unsigned ok = 200;
constexpr auto answerRoom = 4s; // Beyond the time limit, for the answer that ends it.
constexpr auto requestPause = 30ms;
constexpr auto retryPause = 200ms; // After a refusal.
constexpr int maxTries = 6;
constexpr std::array<std::size_t, 3> pieceSizes { 60, 700, 4000 };
constexpr std::uint64_t slowOneIn = 4;
constexpr std::size_t slowReads = 60; // Of a whole stream that is read slowly.
constexpr auto slowPause = 20ms;

int wholePieces(const std::string& body)
{
    auto n = 0;
    for (auto at = body.find("\n\n"); at != std::string::npos; at = body.find("\n\n", at + 2))
        ++n;
    return n;
}

} // namespace

StreamCallers::StreamCallers(const Deployment& deployment, StreamLedger& ledger, Options options)
    : m_deployment(deployment)
    , m_ledger(ledger)
    , m_options(options)
{
    for (int i = 0; i < m_options.callers; ++i)
        m_threads.emplace_back([this, i] { run(i); });
}

StreamCallers::~StreamCallers()
{
    m_isStopping = true;
    for (auto& it : m_threads)
        it.join();
}

void StreamCallers::run(int number)
{
    SeededRandom random(m_options.seed * 1000 + static_cast<std::uint64_t>(number));
    Kept kept;
    for (int stream = 0; !m_isStopping; ++stream) {
        runStream(fmt::format("p{}-{}", number, stream), kept, random);
        std::this_thread::sleep_for(requestPause);
    }
}

void StreamCallers::runStream(const std::string& stream, Kept& kept, SeededRandom& random)
{
    const auto bytes = pieceSizes.at(random.below(pieceSizes.size()));
    const auto mayRunTwice = random.below(2) == 0;
    const auto isChunked = random.below(2) == 0;
    const auto isSlow = random.below(slowOneIn) == 0;
    const ReadPace pace { .pieceBytes = isSlow ? std::max<std::size_t>(1, bytes * piecesPerStream / slowReads) : 0, .pause = slowPause };
    std::vector<StreamTry> tries;
    std::string first; // The attempt that brought the first piece.
    auto pieces = 0;
    while (tries.size() < maxTries && (tries.empty() || tries.back().status != ok)) {
        if (!kept.client) {
            kept.entry = static_cast<int>(random.below(static_cast<std::uint64_t>(m_deployment.options().entries)));
            kept.client = std::make_unique<BlockingHttpClient>(m_deployment.directCallerAddress(kept.entry), m_options.timeLimit + answerRoom);
        }
        StreamTry one { .attempt = fmt::format("{}-{}", stream, tries.size()), .entry = kept.entry, .after = pieces, .maxAttempts = mayRunTwice ? 2 : 3, .limit = std::min(m_options.timeLimit, m_options.shortestTimeout), .sentAt = Clock::now() };
        std::map<std::string, std::string> fields { { "Host", "h.example" }, { "Attempt-Id", one.attempt }, { "Deadline-Ms", std::to_string(m_options.timeLimit.count()) }, { "Authorization", "Bearer " + permanentKey } };
        if (pieces > 0) {
            fields["Resumes"] = first;
            fields["Last-Event-Id"] = std::to_string(pieces);
        }
        auto answer = kept.client->call("POST", (mayRunTwice ? twoAttemptsPrefix : threeAttemptsPrefix) + "x", fields, fmt::format("{} {}", stream, bytes), { .isChunked = isChunked }, pace);
        one.endedAt = Clock::now();
        one.status = answer.status;
        one.hasHead = !answer.fields.empty();
        if (answer.status == ok || answer.status == 0) {
            one.body = std::move(answer.body);
            pieces += wholePieces(one.body);
        }
        if (first.empty() && pieces > 0)
            first = one.attempt;
        // Requests are sent once more on a new connection.
        if (one.status != ok)
            kept.client.reset();
        if (one.status != ok && one.status != 0)
            std::this_thread::sleep_for(retryPause);
        tries.push_back(std::move(one));
    }
    m_ledger.recordStream(stream, bytes, std::move(tries));
}

} // namespace HickoryHollow::Soak
