/** \file
 * Test doubles for the request path: scripted backend servers, a recording response writer and an in-memory claim ledger.
 */
#pragma once

#include "base/RouterError.h"
#include "entry/IdempotencyLedger.h"
#include "http/ResponseWriter.h"
#include "http/UpstreamClient.h"
#include "net/Timer.h"

#include <boost/asio/this_coro.hpp>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace HickoryHollow::Fakes {

/** The response of a backend server to one attempt. */
struct Script {
    std::error_code beginError;
    Verdict beginVerdict = Verdict::MayHaveRun;
    unsigned status = 200;
    std::string contentType = "application/json";
    std::optional<std::string> echoedAttemptId; ///< Attempt id in the response header; the id of the request if unset.
    bool saysNotRun = false; ///< The response header has the verdict `not-run`.
    std::function<void()> beforeSending; ///< Runs once a connection is open, before the check that precedes the request.
    std::function<void()> afterSending; ///< Runs once the request was sent, before its response.
    std::function<void(const HttpRequest&, Script&)> answerTo; ///< Writes the response to the request that was sent.
    bool reusesConnection = false; ///< The connection served another request before.
    bool isStalled = false; ///< No header is received until the call is cancelled.
    Duration silence {}; ///< Time without bytes after `silentAfter` chunks, or before the header if that is 0.
    std::size_t silentAfter = 0;
    Duration pauseAfterHeader {}; ///< Time without bytes between the header and the first chunk.
    std::vector<HttpField> fields; ///< Additional header fields.
    bool isCloseDelimited = false; ///< The body has neither a length nor chunks.
    std::vector<std::string> chunks;
    std::error_code bodyError; ///< Error after the last chunk; if unset, the body is complete.
    std::function<void()> onBodyError; ///< Runs once that error is read.
};

class FakeUpstream final : public UpstreamClient {
public:
    std::deque<Script> scripts; ///< One for each further attempt.
    std::optional<Script> otherwise; ///< For the attempts after these.
    std::vector<std::string> addresses; ///< One for each attempt that was made.
    std::vector<HttpRequest> requests;
    std::set<std::string> unreachable; ///< Servers to which connect() fails.
    std::vector<std::string> probes; ///< Calls of connect().
    std::vector<std::string> cancelled; ///< Servers of the calls that were cancelled, in this order.
    std::map<std::string, TimePoint> runsSince; ///< First call of each server since it started.

    std::unique_ptr<UpstreamCall> open(const std::string& address, const UpstreamTimeouts&) override
    {
        addresses.push_back(address);
        auto script = scripts.empty() && otherwise ? *otherwise : scripts.at(0);
        if (!scripts.empty())
            scripts.pop_front();
        return std::make_unique<Call>(*this, address, std::move(script));
    }

    Task<std::error_code> connect(const std::string& address) override
    {
        probes.push_back(address);
        co_return unreachable.contains(address) ? make_error_code(RouterError::UpstreamConnectFailed) : std::error_code();
    }

    /** The server ends, and another process runs at its address from now on. */
    void restart(const std::string& address) { runsSince.erase(address); }

private:
    class Call final : public UpstreamCall {
    public:
        Call(FakeUpstream& owner, std::string address, Script script)
            : m_owner(owner)
            , m_address(std::move(address))
            , m_script(std::move(script))
        {
        }

        Task<UpstreamHead> begin(const HttpRequest& request) override
        {
            UpstreamHead head;
            auto checked = request;
            m_serverRunsSince = m_owner.runsSince.try_emplace(m_address, monotonicNow()).first->second;
            if (m_script.beforeSending)
                m_script.beforeSending();
            if (m_check && !m_check(checked)) {
                head.ec = make_error_code(RouterError::SendForbidden);
                co_return head;
            }
            m_owner.requests.push_back(checked);
            if (m_script.afterSending)
                m_script.afterSending();
            if (const auto answerTo = m_script.answerTo)
                answerTo(checked, m_script);
            if (m_script.isStalled) {
                m_stall = std::make_unique<Timer>(co_await asio::this_coro::executor, Timer::time_point::max());
                co_await m_stall->async_wait(asTuple);
                m_script.beginError = make_error_code(RouterError::UpstreamBroken);
            }
            if (m_script.silentAfter == 0)
                co_await beSilent(m_script.silence);
            if (m_isCancelled)
                m_script.beginError = make_error_code(RouterError::UpstreamBroken);
            head.ec = m_script.beginError;
            head.verdict = m_script.beginVerdict;
            head.status = m_script.status;
            head.isCloseDelimited = m_script.isCloseDelimited;
            head.fields.add("Content-Type", m_script.contentType);
            head.fields.add("X-Hickory-Attempt-Id", m_script.echoedAttemptId.value_or(std::string(checked.fields.find("X-Hickory-Attempt-Id"))));
            for (const auto& it : m_script.fields)
                head.fields.add(it.name, it.value);
            if (m_script.saysNotRun)
                head.fields.add("X-Hickory-Verdict", "not-run");
            co_return head;
        }

        Task<UpstreamChunk> readChunk() override
        {
            UpstreamChunk chunk;
            if (m_next == 0)
                co_await beSilent(m_script.pauseAfterHeader);
            else if (m_next == m_script.silentAfter)
                co_await beSilent(m_script.silence);
            if (m_isCancelled)
                chunk.ec = make_error_code(RouterError::UpstreamBroken);
            else if (m_next < m_script.chunks.size())
                chunk.bytes = m_script.chunks[m_next++];
            else
                chunk.ec = m_script.bodyError;
            if (chunk.ec && !m_isCancelled && m_script.onBodyError)
                m_script.onBodyError();
            chunk.isLast = m_next == m_script.chunks.size() && !m_script.bodyError && !chunk.ec;
            co_return chunk;
        }

        bool reusedConnection() const override { return m_script.reusesConnection; }
        std::optional<TimePoint> serverRunsSince() const override { return m_serverRunsSince; }
        void checkBeforeSending(const BeforeSend& check) override { m_check = check; }

        void cancel() override
        {
            if (!std::exchange(m_isCancelled, true))
                m_owner.cancelled.push_back(m_address);
            if (m_stall)
                m_stall->cancel();
        }

    private:
        Task<void> beSilent(Duration time)
        {
            if (time == Duration::zero() || m_isCancelled)
                co_return;
            m_stall = std::make_unique<Timer>(co_await asio::this_coro::executor, time);
            co_await m_stall->async_wait(asTuple);
        }

        FakeUpstream& m_owner;
        std::string m_address;
        Script m_script;
        std::size_t m_next = 0;
        std::optional<TimePoint> m_serverRunsSince;
        std::unique_ptr<Timer> m_stall;
        bool m_isCancelled = false;
        BeforeSend m_check;
    };
};

class RecordingWriter final : public ResponseWriter {
public:
    std::optional<HttpResponse> response;
    unsigned streamStatus = 0;
    std::string streamed;
    bool isFinished = false;
    bool isAbandoned = false;
    bool isDisconnected = false;
    std::function<void()> written = [] {}; ///< Called after each write of a part of a stream.
    std::function<std::size_t(std::string_view)> takes; ///< Bytes of a part of a stream that reach the caller; its connection breaks after fewer than all.
    Duration readTime {}; ///< Time that the caller takes to read an answer or a part of a stream.

    Task<std::error_code> send(HttpResponse sent) override
    {
        response = std::move(sent);
        co_await read();
        co_return std::error_code();
    }
    Task<std::error_code> startStream(unsigned status, const HttpFields&) override
    {
        streamStatus = status;
        co_return std::error_code();
    }
    Task<std::error_code> write(std::string_view chunk) override
    {
        const auto n = takes ? takes(chunk) : chunk.size();
        streamed.append(chunk.substr(0, n));
        if (n < chunk.size())
            co_return make_error_code(RouterError::CallerGone);
        written();
        co_await read();
        co_return std::error_code();
    }
    Task<std::error_code> finishStream() override
    {
        isFinished = true;
        co_return std::error_code();
    }
    void abandon() override { isAbandoned = true; }
    void onCallerDisconnect(std::function<void()> callback) override { m_disconnectCallback = std::move(callback); }
    bool isCallerDisconnected() const override { return isDisconnected; }

    /** The caller leaves. */
    void disconnect()
    {
        isDisconnected = true;
        if (const auto callback = std::exchange(m_disconnectCallback, {}))
            callback();
    }

private:
    std::function<void()> m_disconnectCallback;

    Task<void> read()
    {
        if (readTime == Duration::zero())
            co_return;
        Timer pause(co_await asio::this_coro::executor, readTime);
        co_await pause.async_wait(asTuple);
    }
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
