/** \file
 * The process around an entry instance or a state instance: its servers for health and metrics, signals, the settings
 * file, and the end.
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
class RequestCodec;
class RoutingDecoder;

class NodeProcess {
public:
    struct Options {
        std::string settingsFile; ///< Read again on SIGHUP and when it changes.
        NodeSettings settings;
        const RoutingDecoder& decoder;
        const RequestCodec& codec;
        std::string readinessPath; ///< Answered 200 while the instance takes new connections.
        std::function<std::unique_ptr<HttpHandler>(ControlPlane&)> makeControlApi;
    };

    /** Opens listeners and data folder; throws UserError. */
    explicit NodeProcess(Options);
    ~NodeProcess();
    NodeProcess(const NodeProcess&) = delete;
    NodeProcess& operator=(const NodeProcess&) = delete;

    /** Serves until a drain ends. Returns the number of requests that were cut. */
    std::size_t run();
    /** Does what SIGTERM does; callable from any thread. */
    void requestDrain();

private:
    struct Parts;

    std::unique_ptr<Parts> m_parts;
};

} // namespace HickoryHollow
