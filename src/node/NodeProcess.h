/** \file
 * Runs one entry instance or state instance as a process: HTTP servers for health, metrics and control, signal handling,
 * reloading of the settings file, and draining before exit.
 */
#pragma once

#include "net/EventLoops.h"
#include "node/NodeSettings.h"

#include <functional>
#include <memory>
#include <string>

namespace HickoryHollow {

class ControlPlane;
class HttpHandler;
class ProviderCodec;
class RequestCodec;
class RoutingDecoder;

class NodeProcess {
public:
    struct Options {
        /** Reloaded on SIGHUP and when the file changes; of the new settings, only the seeds take effect. */
        std::string settingsFile;
        NodeSettings settings;
        const RoutingDecoder& decoder; ///< Outlives the process object, as `codec` does.
        const RequestCodec& codec;
        const ProviderCodec& providerCodec; ///< Outlives the process object.
        std::string readinessPath; ///< HTTP path that answers 200 while the instance accepts new connections, else 503.
        std::function<std::unique_ptr<HttpHandler>(ControlPlane&)> makeControlApi; ///< Called on a state instance only.
    };

    /** Opens the listeners and, on a state instance, the data folder. Throws UserError. */
    explicit NodeProcess(Options);
    ~NodeProcess();
    NodeProcess(const NodeProcess&) = delete;
    NodeProcess& operator=(const NodeProcess&) = delete;

    /** Serves until a drain completes. Returns the number of requests that the end of the process aborts. */
    std::size_t run();
    /** Starts the same drain as SIGTERM or SIGINT. May be called from any thread. */
    void requestDrain();

private:
    struct Impl;

    std::unique_ptr<Impl> m_impl;
};

} // namespace HickoryHollow
