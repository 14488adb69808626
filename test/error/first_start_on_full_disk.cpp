/** \file
 * The first start of a deployment while the disk of the instance that forms the replicated state is full (issue 41). Guards
 * against a state that is never formed although all processes run and all disks have room.
 */
#include "node/StateInstance.h"
#include "platform/ProviderMessages.h"
#include "routing/RoutingDecoder.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <exception>
#include <filesystem>
#include <optional>
#include <sys/resource.h>
#include <unistd.h>

using namespace HickoryHollow;

namespace {

/** Makes every write of this process to a file fail while it exists; existing files stay as they are. */
class FullDisk {
public:
    FullDisk()
    {
        std::signal(SIGXFSZ, SIG_IGN);
        ::getrlimit(RLIMIT_FSIZE, &m_before);
        const rlimit limits { .rlim_cur = 1, .rlim_max = m_before.rlim_max };
        ::setrlimit(RLIMIT_FSIZE, &limits);
    }
    ~FullDisk() { ::setrlimit(RLIMIT_FSIZE, &m_before); }
    FullDisk(const FullDisk&) = delete;
    FullDisk& operator=(const FullDisk&) = delete;

private:
    rlimit m_before {};
};

/** Takes any text as version 1. */
class FakeDecoder final : public RoutingDecoder {
public:
    DecodedRouting decode(std::string_view) const override
    {
        DecodedRouting decoded;
        decoded.configuration.version = RoutingVersion(1);
        return decoded;
    }
    std::optional<std::set<ServiceId>> decodeServices(std::string_view) const override { return std::set<ServiceId>(); }
};

RoutingSubmission::Outcome submit(asio::io_context& loop, StateInstance& instance)
{
    std::optional<RoutingSubmission> answer;
    asio::co_spawn(loop, instance.submitRouting("text"), [&answer](const std::exception_ptr&, RoutingSubmission submission) { answer = std::move(submission); });
    while (!answer)
        loop.run_one();
    return answer->outcome;
}

} // namespace

TEST_CASE("the state is formed once there is room, if the disk was full when it was to be formed first", "[state][disks][loopback]")
{
    const auto folder = std::filesystem::temp_directory_path() / ("hickory-first-start-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    NodeSettings settings;
    settings.instance = InstanceId("s1");
    settings.linkListen = "127.0.0.1:7590";
    settings.seeds = { InstanceId(settings.linkListen) };
    settings.dataFolder = folder.string();
    settings.isFirstStart = true;
    settings.toleratedLosses = 0;
    const FakeDecoder decoder;
    const Platform::ProviderMessages codec;
    asio::io_context loop;
    {
        StateInstance instance(loop, settings, decoder, codec);
        {
            const FullDisk disk;
            instance.start();
            CHECK(submit(loop, instance) == RoutingSubmission::Outcome::Unavailable);
        }
        auto outcome = RoutingSubmission::Outcome::Unavailable;
        for (int i = 0; i < 10 && outcome != RoutingSubmission::Outcome::Accepted; ++i)
            outcome = submit(loop, instance);
        CHECK(outcome == RoutingSubmission::Outcome::Accepted);
    }
    loop.stop();
    std::filesystem::remove_all(folder);
}
