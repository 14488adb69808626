/** \file
 * Writes the responses of the HTTP server to one connection.
 */
#pragma once

#include "http/ConnectionState.h"
#include "http/ResponseWriter.h"

#include <atomic>
#include <memory>
#include <utility>

namespace HickoryHollow {

struct HttpServerOptions;

class ConnectionWriter final : public ResponseWriter {
public:
    /** `options` and `isDraining` must outlive the writer. */
    ConnectionWriter(std::shared_ptr<ConnectionState> state, const HttpServerOptions& options, const std::atomic<bool>& isDraining, unsigned version, bool keepAlive)
        : m_state(std::move(state))
        , m_options(options)
        , m_isDraining(isDraining)
        , m_version(version)
        , m_keepAlive(keepAlive)
    {
    }

    Task<std::error_code> send(HttpResponse) override;
    Task<std::error_code> startStream(unsigned status, const HttpFields&) override;
    Task<std::error_code> write(std::string_view chunk) override;
    Task<std::error_code> finishStream() override;
    void abandon() override { m_keepAlive = false; }
    bool isCallerDisconnected() const override { return m_state->isDisconnected; }
    void onCallerDisconnect(std::function<void()> callback) override;

    bool keepAlive() const { return m_keepAlive; }
    /** True if an orderly end of the connection would look like the end of a stream that was not finished. */
    bool mustReset() const { return m_isUnfinished && !m_isChunked; }

private:
    template <typename Message>
    void fillHead(Message&, unsigned status, const HttpFields&);
    std::error_code recordResult(const boost::system::error_code&);

    std::shared_ptr<ConnectionState> m_state;
    const HttpServerOptions& m_options;
    const std::atomic<bool>& m_isDraining;
    unsigned m_version;
    bool m_keepAlive;
    bool m_isChunked = false;
    bool m_isUnfinished = false; // A stream was started and not finished.
};

} // namespace HickoryHollow
