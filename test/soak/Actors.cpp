#include "soak/Actors.h"

#include "soak/Wire.h"

#include <fmt/format.h>

namespace HickoryHollow::Soak {

namespace {

using namespace std::chrono_literals;

constexpr unsigned ok = 200;
constexpr auto callerPatience = 4s;
constexpr auto betweenRequests = 20ms;
constexpr auto betweenChanges = 400ms;
constexpr auto betweenReports = 400ms;
constexpr auto operatorPatience = 1s;
constexpr auto applyBound = 2s; // From an acknowledgement until no read may be older.

std::string targetOf(Kind kind)
{
    return kind == Kind::Stream ? "/t/x" : kind == Kind::Repeatable ? "/r/x"
                                                                    : "/o/x";
}

std::string wholeStream(const std::string& id)
{
    std::string text;
    for (int event = 1; event <= eventsOfStream; ++event)
        text += fmt::format("id: {}\ndata: {} {}\n\n", event, id, event);
    return text;
}

// What a caller may believe of a success: the server's own answer to its own request, and whole.
void check(const WireAnswer& answer, const std::string& id, Kind kind, Record& record)
{
    const auto expected = kind == Kind::Stream ? wholeStream(id) : wholeBody(id);
    const auto field = [&answer](const char* name) { return answer.fields.contains(name) ? answer.fields.at(name) : std::string(); };
    if (answer.status == ok) {
        if (answer.body != expected)
            record.broken("own whole answer", fmt::format("{} got {} bytes, not the {} of its answer", id, answer.body.size(), expected.size()));
        if (field("runner-seal") != "seal-" + id || field("attempt-id") != id)
            record.broken("own whole answer", id + " got the seal of " + field("runner-seal"));
    } else if (answer.status == 0 && kind == Kind::Stream && !expected.starts_with(answer.body)) {
        record.broken("streams in order", id + " got a broken stream that is no beginning of its own");
    }
    constexpr unsigned unauthorized = 401;
    constexpr unsigned notFound = 404;
    if (answer.status == notFound || (answer.status == unauthorized && !id.starts_with("f")))
        record.broken("proper requests are not denied", fmt::format("{} got {}", id, answer.status));
}

bool ask(WireClient& client, Record& record, const std::string& id, Kind kind)
{
    record.asked(id);
    const auto answer = client.call("POST", targetOf(kind), { { "Host", "h.example" }, { "Attempt-Id", id }, { "Deadline-Ms", "4000" }, { "Authorization", "Bearer " + (id.starts_with("f") ? fickleKey : steadyKey) } }, "plate " + id);
    record.answered(id, answer.status);
    check(answer, id, kind, record);
    return answer.status == ok;
}

std::string configuration(std::uint64_t version, bool withFickleKey)
{
    const auto route = [](const char* name, const char* prefix, const char* type, const char* more) {
        return fmt::format(R"({{"name":"{}","host":"h.example","path-prefix":"{}","type":"{}","timeout-ms":4000,"slo-ms":500,"priority":1,"service":"s","public":false{}}})", name, prefix, type, more);
    };
    return fmt::format(R"({{"version":{},"routes":[{},{},{}],"services":[{{"name":"s","max-conns":200}}],"tenants":[{{"name":"steady","api-keys":["{}"]}},{{"name":"fickle","api-keys":[{}]}}]}})", version,
        route("once", "/o/", "unsafe", R"(,"max-attempts":2)"), route("again", "/r/", "safe", R"(,"max-attempts":2)"), route("stream", "/t/", "streaming", R"(,"max-attempts":2,"sticky":true,"resumable":true,"itl-target-ms":500)"), steadyKey, withFickleKey ? '"' + fickleKey + '"' : "");
}

} // namespace

Callers::Callers(const Fleet& fleet, Record& record, int callers, std::uint64_t seed)
    : m_record(record)
{
    for (int i = 0; i < callers; ++i)
        m_threads.emplace_back([this, &fleet, i, seed] { run(fleet, i, seed); });
}

Callers::~Callers()
{
    m_isOver = true;
    for (auto& it : m_threads)
        it.join();
}

bool Callers::askOnce(const std::string& address, Record& record, const std::string& id, Kind kind)
{
    WireClient client(address, callerPatience);
    return ask(client, record, id, kind);
}

void Callers::run(const Fleet& fleet, int number, std::uint64_t seed)
{
    SeededRandom random(seed * 1000 + static_cast<std::uint64_t>(number));
    const auto entries = static_cast<std::uint64_t>(fleet.options().entries);
    std::unique_ptr<WireClient> client;
    for (int turn = 0; !m_isOver; ++turn) {
        if (!client)
            client = std::make_unique<WireClient>(fleet.callerAddress(static_cast<int>(random.below(entries))), callerPatience);
        const auto isFickle = random.below(4) == 0;
        const auto kind = static_cast<Kind>(random.below(3));
        if (!ask(*client, m_record, fmt::format("{}{}-{}", isFickle ? 'f' : 's', number, turn), kind))
            client.reset();
        std::this_thread::sleep_for(betweenRequests);
    }
}

Operator::Operator(const Fleet& fleet, Record& record, std::uint64_t seed)
    : m_fleet(fleet)
    , m_record(record)
    , m_random(seed)
{
    changeNow(30s);
    m_thread = std::thread([this] { run(); });
}

Operator::~Operator()
{
    m_isOver = true;
    m_thread.join();
}

void Operator::run()
{
    while (!m_isOver) {
        changeNow(10s);
        const auto acknowledged = m_acknowledged.load();
        const auto at = Clock::now();
        std::this_thread::sleep_for(betweenChanges);
        const auto found = read(static_cast<int>(m_random.below(static_cast<std::uint64_t>(m_fleet.options().states))));
        if (found > 0 && found < acknowledged && Clock::now() - at > applyBound)
            m_record.broken("reads are the newest", fmt::format("{} after {} was acknowledged", found, acknowledged));
    }
}

bool Operator::changeNow(std::chrono::seconds patience)
{
    m_version += 1 + m_random.below(3);
    const auto withKey = m_random.below(2) == 0;
    // Before its acknowledgement the change may be in force already, or not.
    if (withKey)
        m_record.keyGranted();
    for (const auto end = Clock::now() + patience; Clock::now() < end && !(m_isOver && m_thread.joinable());) {
        if (!submit(m_version, withKey))
            continue;
        m_acknowledged = m_version;
        if (!withKey)
            m_record.keyRevoked(Clock::now());
        return true;
    }
    return false;
}

bool Operator::submit(std::uint64_t version, bool withKey)
{
    const auto state = static_cast<int>(m_random.below(static_cast<std::uint64_t>(m_fleet.options().states)));
    WireClient client(m_fleet.controlAddress(state), operatorPatience);
    const auto answer = client.call("POST", "/config/replace", { { "Host", "control" }, { "Content-Type", "application/json" } }, configuration(version, withKey));
    if (answer.status >= 400 && answer.status < 500)
        m_record.broken("valid changes are not refused", fmt::format("version {} got {}", version, answer.status));
    if (answer.status == 0)
        std::this_thread::sleep_for(100ms);
    return answer.status == ok;
}

std::uint64_t Operator::read(int state)
{
    WireClient client(m_fleet.controlAddress(state), operatorPatience);
    const auto answer = client.call("GET", "/config/read", { { "Host", "control" } }, "");
    const auto at = answer.body.find(':');
    return answer.status == ok && at != std::string::npos ? std::stoull(answer.body.substr(at + 1)) : 0;
}

void Operator::checkReads(std::chrono::seconds patience)
{
    for (int state = 0; state < m_fleet.options().states; ++state) {
        const auto acknowledged = m_acknowledged.load();
        std::uint64_t found = 0;
        for (const auto end = Clock::now() + patience; found == 0 && Clock::now() < end;)
            found = read(state);
        if (found < acknowledged)
            m_record.broken("acknowledged is durable", fmt::format("n{} reads {} at the end, acknowledged was {}", state, found, acknowledged));
    }
}

Announcer::Announcer(Fleet& fleet, int backends)
    : m_fleet(fleet)
{
    for (int i = 0; i < backends; ++i)
        m_threads.emplace_back([this, &backend = fleet.backend(i)] { run(backend); });
}

Announcer::~Announcer()
{
    m_isOver = true;
    for (auto& it : m_threads)
        it.join();
}

void Announcer::run(Backend& backend)
{
    auto state = 0;
    while (!m_isOver) {
        WireClient client(m_fleet.controlAddress(state), operatorPatience);
        const auto name = backend.name();
        const auto answer = client.call("POST", "/instances/" + name + "/heartbeat", { { "Host", "control" } }, backend.report(backend.isLeaving() ? "draining" : "ready"));
        if (answer.status != ok)
            state = (state + 1) % m_fleet.options().states;
        else
            std::this_thread::sleep_for(betweenReports);
    }
}

} // namespace HickoryHollow::Soak
