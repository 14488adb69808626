/** \file
 * Scripted backend servers, a response writer that records, and a ledger in memory, for tests of the request path.
 */
#pragma once

#include "base/RouterError.h"
#include "entry/IdempotencyLedger.h"
#include "http/ResponseWriter.h"
#include "http/UpstreamClient.h"
#include "net/Timer.h"

#include <boost/asio/this_coro.hpp>

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace HickoryHollow::Fakes {

/** What one attempt at a backend server does. */
struct Script {
    std::error_code beginError;
    Verdict beginVerdict = Verdict::MayHaveRun;
    unsigned status = 200;
    std::string contentType = "application/json";
    std::optional<std::string> echo; ///< Name of the attempt that it answers; the right one where empty.
    bool saysNotRun = false;
    bool isStalled = false; ///< No header before the call is cancelled.
    std::vector<HttpField> fields; ///< Further fields of the header.
    std::vector<std::string> pieces;
    std::error_code breaksWith; ///< After the pieces; else they are complete.
};

class FakeUpstream final : public UpstreamClient {
public:
    std::deque<Script> scripts; ///< One for each attempt to come.
    std::vector<std::string> addresses; ///< Of the attempts made.
    std::vector<HttpRequest> requests;

    std::unique_ptr<UpstreamCall> open(const std::string& address, const UpstreamTimeouts&) override
    {
        addresses.push_back(address);
        auto script = scripts.at(0);
        scripts.pop_front();
        return std::make_unique<Call>(*this, std::move(script));
    }

private:
    class Call final : public UpstreamCall {
    public:
        Call(FakeUpstream& owner, Script script)
            : m_owner(owner)
            , m_script(std::move(script))
        {
        }

        Task<UpstreamHead> begin(const HttpRequest& request) override
        {
            m_owner.requests.push_back(request);
            UpstreamHead head;
            if (m_script.isStalled) {
                m_stall = std::make_unique<Timer>(co_await asio::this_coro::executor, Timer::time_point::max());
                co_await m_stall->async_wait(asTuple);
                m_script.beginError = make_error_code(RouterError::UpstreamBroken);
            }
            head.ec = m_script.beginError;
            head.verdict = m_script.beginVerdict;
            head.status = m_script.status;
            head.fields.add("Content-Type", m_script.contentType);
            head.fields.add("X-Hickory-Attempt-Id", m_script.echo.value_or(std::string(request.fields.find("X-Hickory-Attempt-Id"))));
            for (const auto& it : m_script.fields)
                head.fields.add(it.name, it.value);
            if (m_script.saysNotRun)
                head.fields.add("X-Hickory-Verdict", "not-run");
            co_return head;
        }

        Task<UpstreamPiece> readPiece() override
        {
            UpstreamPiece piece;
            if (m_next < m_script.pieces.size())
                piece.bytes = m_script.pieces[m_next++];
            else
                piece.ec = m_script.breaksWith;
            piece.isLast = m_next == m_script.pieces.size() && !m_script.breaksWith;
            co_return piece;
        }

        void cancel() override
        {
            if (m_stall)
                m_stall->cancel();
        }

    private:
        FakeUpstream& m_owner;
        Script m_script;
        std::size_t m_next = 0;
        std::unique_ptr<Timer> m_stall;
    };
};

class RecordingWriter final : public ResponseWriter {
public:
    std::optional<HttpResponse> response;
    unsigned streamStatus = 0;
    std::string streamed;
    bool isFinished = false;
    bool isAbandoned = false;
    bool isGone = false;

    Task<std::error_code> send(HttpResponse sent) override
    {
        response = std::move(sent);
        co_return std::error_code();
    }
    Task<std::error_code> startStream(unsigned status, const HttpFields&) override
    {
        streamStatus = status;
        co_return std::error_code();
    }
    Task<std::error_code> write(std::string_view piece) override
    {
        streamed.append(piece);
        co_return std::error_code();
    }
    Task<std::error_code> finishStream() override
    {
        isFinished = true;
        co_return std::error_code();
    }
    void abandon() override { isAbandoned = true; }
    void onCallerGone(std::function<void()>) override { }
    bool callerGone() const override { return isGone; }
};

class MemoryLedger final : public IdempotencyLedger {
public:
    ClaimResult next { .kind = ClaimResult::Kind::Granted, .ticket = 1, .answer = {} };
    std::vector<Verdict> completed;

    Task<ClaimResult> claim(const ClaimKey&) override { co_return next; }
    Task<void> complete(const ClaimKey&, std::uint64_t, Verdict verdict, const HttpResponse&) override
    {
        completed.push_back(verdict);
        co_return;
    }
};

} // namespace HickoryHollow::Fakes
