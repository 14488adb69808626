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
constexpr auto retryPause = 200ms; // After a first refusal, and so much longer after each further one.
constexpr int maxTries = 8;
constexpr int maxLeavings = 2; // Of a stream.
constexpr std::uint64_t leavesOneIn = 4; // Tries.
constexpr std::uint64_t impatientOneIn = 4;
constexpr std::uint64_t shortestPatience = 300; // In milliseconds.
constexpr std::uint64_t patienceRange = 2100; // Up to the longest gap that the users' callers wait.
constexpr std::uint64_t dropsOneIn = 5; // Streams taken up.
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

void StreamCallers::connect(Kept& kept, bool hasLeft, SeededRandom& random)
{
    if (kept.client)
        return;
    const auto entries = static_cast<std::uint64_t>(m_deployment.options().entries);
    kept.entry = static_cast<int>(hasLeft ? (static_cast<std::uint64_t>(kept.entry) + 1 + random.below(entries - 1)) % entries : random.below(entries));
    kept.client = std::make_unique<BlockingHttpClient>(m_deployment.directCallerAddress(kept.entry), m_options.timeLimit + answerRoom);
}

void StreamCallers::runStream(const std::string& stream, Kept& kept, SeededRandom& random)
{
    const auto bytes = pieceSizes.at(random.below(pieceSizes.size()));
    const auto mayRunTwice = random.below(2) == 0;
    const auto isChunked = random.below(2) == 0;
    const auto isSlow = random.below(slowOneIn) == 0;
    const ReadPace calm { .pieceBytes = isSlow ? std::max<std::size_t>(1, bytes * piecesPerStream / slowReads) : 0, .pause = slowPause };
    std::vector<StreamTry> tries;
    std::string first; // The attempt that brought the first piece.
    auto pieces = 0;
    auto leavings = 0;
    auto refusals = 0;
    std::unique_ptr<BlockingHttpClient> left; // Open until the try behind it has ended.
    while (tries.size() < maxTries && (tries.empty() || tries.back().status != ok)) {
        connect(kept, !tries.empty() && tries.back().wasLeft, random);
        auto pace = calm;
        if (leavings < maxLeavings && random.below(leavesOneIn) == 0)
            pace.leaveAfter = random.below(bytes * piecesPerStream);
        if (leavings < maxLeavings && random.below(impatientOneIn) == 0)
            pace.patience = std::chrono::milliseconds(shortestPatience + random.below(patienceRange));
        const auto dropped = pieces > 1 && random.below(dropsOneIn) == 0 ? 1 + static_cast<int>(random.below(static_cast<std::uint64_t>(pieces) - 1)) : 0;
        pieces -= dropped;
        StreamTry one { .attempt = fmt::format("{}-{}", stream, tries.size()), .entry = kept.entry, .after = pieces, .dropped = dropped, .maxAttempts = mayRunTwice ? 2 : 3, .limit = std::min(m_options.timeLimit, m_options.shortestTimeout), .sentAt = Clock::now() };
        std::map<std::string, std::string> fields { { "Host", "h.example" }, { "Attempt-Id", one.attempt }, { "Deadline-Ms", std::to_string(m_options.timeLimit.count()) }, { "Authorization", "Bearer " + permanentKey } };
        if (pieces > 0) {
            fields["Resumes"] = first;
            fields["Last-Event-Id"] = std::to_string(pieces);
        }
        auto answer = kept.client->call("POST", (mayRunTwice ? twoAttemptsPrefix : threeAttemptsPrefix) + "x", fields, fmt::format("{} {}", stream, bytes), { .isChunked = isChunked }, pace);
        one.endedAt = Clock::now();
        one.status = answer.status;
        one.hasHead = !answer.fields.empty();
        one.wasLeft = answer.wasLeft;
        left.reset();
        if (answer.status == ok || answer.status == 0) {
            one.body = std::move(answer.body);
            pieces += wholePieces(one.body);
        }
        if (first.empty() && pieces > 0)
            first = one.attempt;
        if (one.wasLeft) {
            ++leavings;
            if (random.below(2) == 0)
                left = std::move(kept.client);
        }
        // Requests are sent once more on a new connection.
        if (one.status != ok)
            kept.client.reset();
        if (one.status != ok && one.status != 0)
            std::this_thread::sleep_for(retryPause * ++refusals);
        tries.push_back(std::move(one));
    }
    m_ledger.recordStream(stream, bytes, std::move(tries));
}

} // namespace HickoryHollow::Soak
