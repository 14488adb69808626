// A deployment of five core machines and some edge machines, a runner's status reports, and the operator's calls.
#pragma once

#include "Deployment.h"

namespace Review {

class Deployment {
public:
    Deployment(Record& record, int edges)
        : m_record(record)
        , m_network(findNetwork())
    {
        const char* zones[] = { "zone-a", "zone-b", "zone-c" };
        for (int i = 0; i < 5; ++i)
            core.push_back(std::make_unique<Machine>(m_network, m_folder.path(), "core-" + std::to_string(i + 1), m_network.ip(1, i + 1), zones[i % 3], true));
        for (int i = 0; i < edges; ++i)
            edge.push_back(std::make_unique<Machine>(m_network, m_folder.path(), "edge-" + std::to_string(i + 1), m_network.ip(2, i + 1), zones[i % 3], false));
        for (int i = 0; i < 3; ++i)
            seeds.push_back(core[static_cast<std::size_t>(i)]->ip());
        for (const auto* group : { &core, &edge }) {
            for (const auto& it : *group) {
                it->writeSettings(seeds, true);
                it->start();
            }
        }
    }
    ~Deployment()
    {
        m_isOver = true;
        for (auto& it : m_reports)
            it.join();
    }

    const Network& network() const { return m_network; }
    std::string runnerIp(int number) const { return m_network.ip(3, number); }

    /** What a runner says of itself; changed by the script. */
    struct Report {
        std::string service;
        std::atomic<bool> isDraining = false;
        std::atomic<bool> isSilent = false; // Its process has ended.
        std::atomic<double> leavingAcknowledgedAt = -1;
    };

    /** Sends the status reports of a runner each 1.2 s, and at once when it begins to drain. */
    std::shared_ptr<Report> report(int runner, const std::string& service, int slots)
    {
        const auto state = std::make_shared<Report>();
        state->service = service;
        m_reports.emplace_back([this, state, runner, slots] {
            auto wasDraining = false;
            for (int sequence = 1; !m_isOver; ++sequence) {
                const bool isDraining = state->isDraining;
                wasDraining = isDraining;
                const auto body = "{\"service\":\"" + state->service + "\",\"address\":\"" + runnerIp(runner) + ":" + std::to_string(m_network.servers) + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) + ",\"state\":\"" + (isDraining ? "draining" : "ready") + "\",\"cold-left-ms\":0,\"phase\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"seq\":" + std::to_string(sequence) + ",\"born\":1790000000000}";
                for (std::size_t i = 0; i < core.size() && !state->isSilent; ++i) {
                    if (call(core[(i + static_cast<std::size_t>(runner)) % core.size()]->ip(), m_network.control, "POST", "/instances/i-" + std::to_string(runner) + "/heartbeat", "Content-Type: application/json\r\n", body, 1).status != 200)
                        continue;
                    if (isDraining && state->leavingAcknowledgedAt < 0) {
                        state->leavingAcknowledgedAt = now();
                        m_record.line("runner i-%d says that it drains: acknowledged", runner);
                    }
                    break;
                }
                for (int i = 0; i < 60 && !m_isOver && state->isDraining == wasDraining; ++i)
                    sleepFor(0.02);
            }
        });
        return state;
    }

    /** Sends a desired state until it is acknowledged. */
    bool put(const std::string& document, double timeout)
    {
        const auto end = now() + timeout;
        while (now() < end) {
            for (const auto& it : core) {
                const auto answer = call(it->ip(), m_network.control, "POST", "/config/replace", "Content-Type: application/json\r\n", document, 1);
                m_record.line("operator sends %s to %s: %d %s", document.substr(0, 13).c_str(), it->name().c_str(), answer.status, answer.error.c_str());
                if (answer.status == 200)
                    return true;
            }
            sleepFor(0.3);
        }
        return false;
    }

    std::vector<std::unique_ptr<Machine>> core, edge;
    std::vector<std::string> seeds;

private:
    Record& m_record;
    Network m_network;
    Folder m_folder;
    std::atomic<bool> m_isOver = false;
    std::vector<std::thread> m_reports;
};

} // namespace Review
