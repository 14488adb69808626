#include "soak/TakenUpStreams.h"

#include "soak/BlockingHttpClient.h"

#include <fmt/format.h>
#include <regex>
#include <set>

namespace HickoryHollow::Soak {

namespace {

using namespace std::chrono_literals;

constexpr auto callerTimeout = 4s;
constexpr auto requestPause = 30ms;
constexpr int maxTries = 4;

/** The whole events of an answer. */
struct Events {
    int last = 0; ///< Id of the last one; 0 if there is none.
    std::set<std::string> versions;
};

void addEvents(const std::string& body, Events& events)
{
    static const std::regex event("id: ([0-9]+)\\ndata: (v[0-9]+) [0-9]+\\n\\n");
    for (std::sregex_iterator it(body.begin(), body.end(), event), end; it != end; ++it) {
        events.last = std::stoi((*it)[1]);
        events.versions.insert((*it)[2]);
    }
}

} // namespace

TakenUpStreams::TakenUpStreams(const Deployment& deployment, GuaranteeChecker& checker, int callers, std::uint64_t seed)
    : m_deployment(deployment)
    , m_checker(checker)
{
    for (int i = 0; i < callers; ++i)
        m_threads.emplace_back([this, i, seed] { run(i, seed); });
}

TakenUpStreams::~TakenUpStreams()
{
    m_isStopping = true;
    for (auto& it : m_threads)
        it.join();
}

std::string TakenUpStreams::summary() const
{
    return fmt::format("streams of two versions: {} of {} began, {} of {} taken up went on", m_begun.load(), m_sent.load(), m_goneOn.load(), m_takenUp.load());
}

void TakenUpStreams::run(int number, std::uint64_t seed)
{
    SeededRandom random(seed * 1000 + static_cast<std::uint64_t>(number));
    for (int stream = 0; !m_isStopping; ++stream) {
        runStream(fmt::format("s-v{}-{}", number, stream), random);
        std::this_thread::sleep_for(requestPause);
    }
}

void TakenUpStreams::runStream(const std::string& id, SeededRandom& random)
{
    Events events;
    std::string first; // The attempt that brought the first event.
    auto isComplete = false;
    for (int attempt = 0; attempt < maxTries && !isComplete; ++attempt) {
        const auto name = fmt::format("{}-{}", id, attempt);
        std::map<std::string, std::string> fields { { "Host", "h.example" }, { "Attempt-Id", name }, { "Deadline-Ms", "4000" }, { "Authorization", "Bearer " + permanentKey } };
        const auto isTakeUp = !first.empty();
        if (isTakeUp) {
            fields["Resumes"] = first;
            fields["Last-Event-Id"] = std::to_string(events.last);
        }
        const auto before = events.last;
        BlockingHttpClient client(m_deployment.callerAddress(static_cast<int>(random.below(static_cast<std::uint64_t>(m_deployment.options().entries)))), callerTimeout);
        const auto answer = client.call("POST", versionedPath, fields, "stream " + id);
        if (answer.status == 200 || answer.status == 0)
            addEvents(answer.body, events);
        isComplete = answer.status == 200;
        const auto hasEvents = events.last > before;
        // Without an answer the try may have met an instance that is down, which says nothing of streams.
        if (answer.status != 0 || hasEvents) {
            (isTakeUp ? m_takenUp : m_sent) += 1;
            (isTakeUp ? m_goneOn : m_begun) += hasEvents || isComplete ? 1 : 0;
        }
        if (hasEvents && !isTakeUp)
            first = name;
        if (isComplete && events.last != eventsPerStream)
            m_checker.recordViolation("streams are in order", fmt::format("{} ended as complete after event {} of {}", name, events.last, eventsPerStream));
        std::this_thread::sleep_for(requestPause);
    }
    if (events.versions.size() > 1)
        m_checker.recordViolation("streams hold events of one version", fmt::format("{} got events of {} versions", id, events.versions.size()));
}

} // namespace HickoryHollow::Soak
