/** \file
 * Runs instances of the router with the platform's codecs inside a test, and calls them on loopback.
 */
#pragma once

#include "node/ControlPlane.h"
#include "node/NodeProcess.h"
#include "platform/ControlApi.h"
#include "platform/HeaderCodec.h"
#include "platform/ProviderMessages.h"
#include "platform/RoutingJson.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <thread>
#include <unistd.h>

namespace HickoryHollow::Fakes {

/** Runs an instance of the router on its own thread and drains it in the destructor. */
class RunningInstance {
public:
    RunningInstance(const std::string& settings, const std::string& name)
        : m_file(std::filesystem::temp_directory_path() / ("hickory-path-" + std::to_string(::getpid()) + name))
    {
        std::ofstream(m_file) << settings;
        Diagnostics diagnostics;
        const auto parsed = parseNodeSettings(m_file, settings, diagnostics);
        INFO(toString(diagnostics));
        REQUIRE(parsed);
        m_process = std::make_unique<NodeProcess>(NodeProcess::Options { .settingsFile = m_file, .settings = *parsed, .decoder = m_decoder, .codec = m_codec, .providerCodec = m_providerCodec, .readinessPath = "/readyz", .makeControlApi = [](ControlPlane& plane) { return std::make_unique<Platform::ControlApi>(plane); } });
        m_thread = std::thread([this] { m_cut = m_process->run(); });
    }
    ~RunningInstance()
    {
        stop();
        std::filesystem::remove(m_file);
    }
    /** Drains the instance and waits for its end. Returns the number of requests that the end cut off. */
    std::size_t stop()
    {
        if (m_thread.joinable()) {
            m_process->requestDrain();
            m_thread.join();
        }
        return m_cut;
    }
    /** Starts the drain, as SIGTERM does. */
    void requestDrain() { m_process->requestDrain(); }

    RunningInstance(const RunningInstance&) = delete;
    RunningInstance& operator=(const RunningInstance&) = delete;

private:
    std::filesystem::path m_file;
    Platform::RoutingJson m_decoder;
    Platform::HeaderCodec m_codec;
    Platform::ProviderMessages m_providerCodec;
    std::unique_ptr<NodeProcess> m_process;
    std::size_t m_cut = 0; // Valid after the end of the thread.
    std::thread m_thread;
};

/** What a caller received. */
struct Answer {
    unsigned status = 0;
    std::string body;
    std::string seal;
};

/** Sends one request on a connection of its own. The status is 0 if no whole answer comes. */
inline Answer call(int port, boost::beast::http::verb method, const std::string& target, const std::string& body, const std::string& key = {}, const HttpFields& fields = {})
{
    namespace http = boost::beast::http;
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    socket.connect({ boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(port) });
    http::request<http::string_body> request { method, target, 11 };
    request.set(http::field::host, "h.example");
    request.set("Attempt-Id", "id-1");
    if (!key.empty())
        request.set(http::field::authorization, "Bearer " + key);
    for (const auto& it : fields.all())
        request.set(it.name, it.value);
    request.body() = body;
    request.prepare_payload();
    http::write(socket, request);
    boost::beast::flat_buffer buf;
    http::response<http::string_body> response;
    boost::system::error_code ec;
    http::read(socket, buf, response, ec);
    return { .status = ec ? 0 : response.result_int(), .body = response.body(), .seal = std::string(response["Runner-Seal"]) };
}

} // namespace HickoryHollow::Fakes
