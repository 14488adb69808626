#include "soak/Proxy.h"

#include "net/Listener.h"
#include "net/Timer.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace HickoryHollow::Soak {

namespace {

using boost::asio::ip::tcp;

constexpr std::chrono::milliseconds heldFor { 80 }; // By Harm::Delay; about what a congested link adds.
constexpr std::chrono::milliseconds harmPoll { 10 }; // While nothing passes.

tcp::endpoint endpointOf(const std::string& address)
{
    const auto colon = address.rfind(':');
    return { boost::asio::ip::make_address(address.substr(0, colon)), static_cast<unsigned short>(std::stoi(address.substr(colon + 1))) };
}

} // namespace

struct Proxy::State : std::enable_shared_from_this<State> {
    struct Pair {
        explicit Pair(tcp::socket accepted)
            : outer(std::move(accepted))
            , inner(outer.get_executor())
        {
        }

        tcp::socket outer;
        tcp::socket inner;
    };

    State(boost::asio::io_context& ioLoop, std::string targetAddress)
        : loop(ioLoop)
        , target(std::move(targetAddress))
    {
    }

    Task<void> acceptLoop(Acceptor acceptor)
    {
        const auto keepAlive = shared_from_this();
        for (;;) {
            auto [ec, socket] = co_await acceptor.async_accept(asTuple);
            if (ec)
                co_return;
            const auto pair = std::make_shared<Pair>(std::move(socket));
            pairs.insert(pair);
            boost::asio::co_spawn(loop, connect(pair), boost::asio::detached);
        }
    }

    Task<void> connect(std::shared_ptr<Pair> pair)
    {
        const auto keepAlive = shared_from_this();
        const auto [ec] = co_await pair->inner.async_connect(endpointOf(target), asTuple);
        if (ec || harm == Harm::Reset) {
            reset(*pair);
            pairs.erase(pair);
            co_return;
        }
        boost::asio::co_spawn(loop, relay(pair, pair->outer, pair->inner, Harm::CutIn), boost::asio::detached);
        boost::asio::co_spawn(loop, relay(pair, pair->inner, pair->outer, Harm::CutOut), boost::asio::detached);
    }

    Task<void> relay(std::shared_ptr<Pair> pair, tcp::socket& from, tcp::socket& to, Harm cut)
    {
        const auto keepAlive = shared_from_this();
        std::array<char, 16384> buf {};
        Timer pause(loop.get_executor());
        for (;;) {
            const auto [ec, n] = co_await from.async_read_some(boost::asio::buffer(buf), asTuple);
            while (harm == Harm::Silence || harm == cut) {
                pause.expires_after(harmPoll);
                co_await pause.async_wait(asTuple);
            }
            if (harm == Harm::Delay) {
                pause.expires_after(heldFor);
                co_await pause.async_wait(asTuple);
            }
            boost::system::error_code ignored;
            if (ec) {
                to.shutdown(tcp::socket::shutdown_send, ignored);
                break;
            }
            const auto [writeEc, written] = co_await boost::asio::async_write(to, boost::asio::buffer(buf, n), asTuple);
            if (writeEc)
                break;
        }
        // Both directions end here; a caller that half-closes is none of this soak's cases.
        boost::system::error_code ignored;
        pair->outer.close(ignored);
        pair->inner.close(ignored);
        pairs.erase(pair);
    }

    static void reset(Pair& pair)
    {
        boost::system::error_code ignored;
        for (auto* it : { &pair.outer, &pair.inner }) {
            it->set_option(boost::asio::socket_base::linger(true, 0), ignored);
            it->close(ignored);
        }
    }

    boost::asio::io_context& loop;
    std::string target;
    Harm harm = Harm::None; // Used on the loop only.
    std::set<std::shared_ptr<Pair>> pairs; // Open.
};

Proxy::Proxy(boost::asio::io_context& loop, const std::string& listen, const std::string& target)
    : m_state(std::make_shared<State>(loop, target))
{
    boost::asio::co_spawn(loop, m_state->acceptLoop(openListener(loop, listen)), boost::asio::detached);
}

void Proxy::setHarm(Harm harm)
{
    boost::asio::post(m_state->loop, [state = m_state, harm] {
        state->harm = harm;
        if (harm != Harm::Reset)
            return;
        for (const auto& it : state->pairs)
            State::reset(*it);
    });
}

std::string_view toString(Harm harm)
{
    constexpr std::array<std::string_view, 6> names { "none", "delay", "silence", "cut-in", "cut-out", "reset" };
    return names.at(static_cast<std::size_t>(harm));
}

} // namespace HickoryHollow::Soak
