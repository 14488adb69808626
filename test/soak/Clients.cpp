#include "soak/Clients.h"

#include <fmt/format.h>

namespace HickoryHollow::Soak {

namespace {

using namespace std::chrono_literals;

constexpr unsigned ok = 200;
constexpr auto callerTimeout = 4s;
constexpr auto requestPause = 20ms; // Between the answer to a request and the caller's next request.
constexpr int crashingInterval = 10; // Requests of a caller between two that crash servers.
constexpr int longInterval = 6; // Of the requests that run once, every sixth on average takes long.
constexpr auto changePause = 400ms; // Between the end of a change and the read that checks it.
constexpr int furtherRoutes = 80;
constexpr int changesPerStorm = 40;
constexpr std::uint64_t stormInterval = 8; // Changes between two storms, on average.
constexpr auto heartbeatInterval = 400ms;
constexpr auto operatorTimeout = 1s;
constexpr auto staleReadBound = 2s; // For this long after an acknowledgement a read may return an older version.

std::string pathFor(RequestKind kind)
{
    return kind == RequestKind::Stream ? "/t/x" : kind == RequestKind::Repeatable ? "/r/x"
                                                                                  : "/o/x";
}

std::string expectedStream(const std::string& id)
{
    std::string text;
    for (int event = 1; event <= eventsPerStream; ++event)
        text += fmt::format("id: {}\ndata: {} {}\n\n", event, id, event);
    return text;
}

// A successful response must be the complete and unaltered answer of a backend server to this very request, and the part
// of a broken stream that arrived must be the beginning of it.
void checkResponse(const ClientResponse& answer, const std::string& id, RequestKind kind, GuaranteeChecker& checker)
{
    const auto expected = kind == RequestKind::Stream ? expectedStream(id) : expectedBody(id);
    const auto field = [&answer](const char* name) { return answer.fields.contains(name) ? answer.fields.at(name) : std::string(); };
    if (answer.status == ok) {
        if (answer.body != expected)
            checker.recordViolation("answers are complete and unmixed", fmt::format("{} got a body of {} bytes that is not its answer of {} bytes", id, answer.body.size(), expected.size()));
        if (field("runner-seal") != "seal-" + id || field("attempt-id") != id)
            checker.recordViolation("answers are complete and unmixed", id + " got an answer with the seal " + field("runner-seal"));
    } else if (answer.status == 0 && kind == RequestKind::Stream && !expected.starts_with(answer.body)) {
        checker.recordViolation("streams are in order", id + " got a broken stream that is not a prefix of its answer");
    }
    constexpr unsigned unauthorized = 401;
    constexpr unsigned notFound = 404;
    if (answer.status == notFound || (answer.status == unauthorized && !id.starts_with("f")))
        checker.recordViolation("valid requests are not denied", fmt::format("{} got status {}", id, answer.status));
}

unsigned sendRequest(BlockingHttpClient& client, GuaranteeChecker& checker, const std::string& id, RequestKind kind, std::chrono::milliseconds timeLimit, bool isLong = false)
{
    checker.recordRequest(id);
    const auto answer = client.call("POST", isLong ? "/o/long" : pathFor(kind), { { "Host", "h.example" }, { "Attempt-Id", id }, { "Deadline-Ms", std::to_string(timeLimit.count()) }, { "Authorization", "Bearer " + (id.starts_with("f") ? revocableKey : permanentKey) } }, "plate " + id);
    checker.recordResponse(id, answer.status);
    checkResponse(answer, id, kind, checker);
    return answer.status;
}

std::string configuration(std::uint64_t version, bool withRevocableKey)
{
    const auto route = [](const char* name, const char* prefix, const char* type, const char* more) {
        return fmt::format(R"({{"name":"{}","host":"h.example","path-prefix":"{}","type":"{}","timeout-ms":4000,"slo-ms":500,"priority":1,"service":"s","public":false{}}})", name, prefix, type, more);
    };
    // Large enough for storms of changes to fill the journals.
    std::string more;
    for (int i = 0; i < furtherRoutes; ++i)
        more += ',' + route(fmt::format("more-{}", i).c_str(), fmt::format("/more-{}/", i).c_str(), "safe", "");
    return fmt::format(R"({{"version":{},"routes":[{},{},{},{}{}],"services":[{{"name":"s","max-conns":200}}],"tenants":[{{"name":"steady","api-keys":["{}"]}},{{"name":"fickle","api-keys":[{}]}}]}})", version,
        route("once", "/o/", "unsafe", R"(,"max-attempts":2)"), route("again", "/r/", "safe", R"(,"max-attempts":2)"), route("stream", "/t/", "streaming", R"(,"max-attempts":2,"sticky":true,"resumable":true,"itl-target-ms":500)"), route("stream-once", "/u/", "streaming", R"(,"max-attempts":2,"sticky":true,"resumable":false,"itl-target-ms":500)"), more, permanentKey, withRevocableKey ? '"' + revocableKey + '"' : "");
}

} // namespace

Callers::Callers(const Deployment& deployment, GuaranteeChecker& checker, int callers, std::uint64_t seed)
    : m_checker(checker)
{
    for (int i = 0; i < callers; ++i)
        m_threads.emplace_back([this, &deployment, i, seed] { run(deployment, i, seed); });
}

Callers::~Callers()
{
    m_isStopping = true;
    for (auto& it : m_threads)
        it.join();
}

unsigned Callers::request(BlockingHttpClient& client, GuaranteeChecker& checker, const std::string& id, RequestKind kind, std::chrono::milliseconds timeLimit)
{
    return sendRequest(client, checker, id, kind, timeLimit);
}

bool Callers::requestOnce(const std::string& address, GuaranteeChecker& checker, const std::string& id, RequestKind kind)
{
    BlockingHttpClient client(address, callerTimeout);
    return sendRequest(client, checker, id, kind, callerTimeout) == ok;
}

void Callers::run(const Deployment& deployment, int number, std::uint64_t seed)
{
    SeededRandom random(seed * 1000 + static_cast<std::uint64_t>(number));
    const auto entries = static_cast<std::uint64_t>(deployment.options().entries);
    std::unique_ptr<BlockingHttpClient> client;
    for (int request = 0; !m_isStopping; ++request) {
        if (!client)
            client = std::make_unique<BlockingHttpClient>(deployment.callerAddress(static_cast<int>(random.below(entries))), callerTimeout);
        const auto usesRevocableKey = random.below(4) == 0;
        const auto kind = static_cast<RequestKind>(random.below(3));
        // One caller sends the request that crashes servers again and again, through any instance.
        if (number == 0 && request % crashingInterval == 0) {
            client->call("POST", pathFor(RequestKind::Repeatable), { { "Host", "h.example" }, { "Attempt-Id", fmt::format("c-{}", request) }, { "Deadline-Ms", "4000" }, { "Authorization", "Bearer " + permanentKey } }, crashingBody);
            client.reset();
            continue;
        }
        const auto isLong = kind == RequestKind::Once && request % longInterval == 0;
        if (sendRequest(*client, m_checker, fmt::format("{}{}-{}", usesRevocableKey ? 'f' : 's', number, request), kind, callerTimeout, isLong) != ok)
            client.reset();
        std::this_thread::sleep_for(requestPause);
    }
}

Operator::Operator(const Deployment& deployment, GuaranteeChecker& checker, std::uint64_t seed)
    : m_deployment(deployment)
    , m_checker(checker)
    , m_random(seed)
{
    changeConfiguration(30s);
    m_thread = std::thread([this] { run(); });
}

Operator::~Operator()
{
    m_isStopping = true;
    m_thread.join();
}

void Operator::run()
{
    while (!m_isStopping) {
        const auto changes = m_random.below(stormInterval) == 0 ? changesPerStorm : 1;
        for (int i = 0; i < changes && !m_isStopping; ++i)
            changeConfiguration(10s);
        const auto acknowledged = m_acknowledgedVersion.load();
        const auto changeEnd = Clock::now();
        std::this_thread::sleep_for(changePause);
        const auto version = read(static_cast<int>(m_random.below(static_cast<std::uint64_t>(m_deployment.options().states))));
        if (version > 0 && version < acknowledged && Clock::now() - changeEnd > staleReadBound)
            m_checker.recordViolation("reads return the newest configuration", fmt::format("read version {} after version {} was acknowledged", version, acknowledged));
    }
}

bool Operator::changeConfiguration(std::chrono::seconds timeout)
{
    m_submittedVersion += 1 + m_random.below(3);
    const auto withRevocableKey = m_random.below(2) == 0;
    // The change may become active before it is acknowledged, so a granted key counts as valid from the submission on.
    if (withRevocableKey)
        m_checker.recordKeyGrant();
    for (const auto end = Clock::now() + timeout; Clock::now() < end && !(m_isStopping && m_thread.joinable());) {
        if (!submit(m_submittedVersion, withRevocableKey))
            continue;
        m_acknowledgedVersion = m_submittedVersion;
        if (!withRevocableKey)
            m_checker.recordKeyRevocation(Clock::now());
        return true;
    }
    return false;
}

bool Operator::submit(std::uint64_t version, bool withRevocableKey)
{
    const auto state = static_cast<int>(m_random.below(static_cast<std::uint64_t>(m_deployment.options().states)));
    BlockingHttpClient client(m_deployment.controlAddress(state), operatorTimeout);
    const auto answer = client.call("POST", "/config/replace", { { "Host", "control" }, { "Content-Type", "application/json" } }, configuration(version, withRevocableKey));
    if (answer.status >= 400 && answer.status < 500)
        m_checker.recordViolation("valid configurations are not refused", fmt::format("version {} got status {}", version, answer.status));
    if (answer.status == 0)
        std::this_thread::sleep_for(100ms);
    return answer.status == ok;
}

std::uint64_t Operator::read(int state)
{
    BlockingHttpClient client(m_deployment.controlAddress(state), operatorTimeout);
    const auto answer = client.call("GET", "/config/read", { { "Host", "control" } }, "");
    const auto at = answer.body.find(':');
    return answer.status == ok && at != std::string::npos ? std::stoull(answer.body.substr(at + 1)) : 0;
}

void Operator::checkReads(std::chrono::seconds timeout)
{
    for (int state = 0; state < m_deployment.options().states; ++state) {
        const auto acknowledged = m_acknowledgedVersion.load();
        std::uint64_t found = 0;
        for (const auto end = Clock::now() + timeout; found == 0 && Clock::now() < end;)
            found = read(state);
        if (found < acknowledged)
            m_checker.recordViolation("acknowledged configurations are durable", fmt::format("n{} returns version {} at the end, but version {} was acknowledged", state, found, acknowledged));
    }
}

Announcer::Announcer(Deployment& deployment, int backends)
    : m_deployment(deployment)
{
    for (int i = 0; i < backends; ++i)
        m_threads.emplace_back([this, &backend = deployment.backend(i)] { run(backend); });
}

Announcer::~Announcer()
{
    m_isStopping = true;
    for (auto& it : m_threads)
        it.join();
}

void Announcer::run(Backend& backend)
{
    auto state = 0;
    while (!m_isStopping) {
        BlockingHttpClient client(m_deployment.controlAddress(state), operatorTimeout);
        const auto name = backend.name();
        const auto answer = client.call("POST", "/instances/" + name + "/heartbeat", { { "Host", "control" } }, backend.heartbeatBody(backend.isLeaving() ? "draining" : "ready"));
        if (answer.status != ok)
            state = (state + 1) % m_deployment.options().states;
        else
            std::this_thread::sleep_for(heartbeatInterval);
    }
}

} // namespace HickoryHollow::Soak
