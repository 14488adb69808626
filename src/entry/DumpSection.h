/** \file
 * One named section of the state dump that operators can request.
 */
#pragma once

#include <boost/json/value.hpp>
#include <functional>
#include <string>
#include <vector>

namespace HickoryHollow {

/** `read` may be called on any event loop. What it returns contains no keys and no request bodies. */
struct DumpSection {
    std::string name;
    std::function<boost::json::value()> read;
};

using DumpSections = std::vector<DumpSection>;

class Dispatcher;
class FleetView;

/** Queue, running requests, and the load and slowness of each backend server, from the scheduler's state. */
DumpSection schedulerSection(const Dispatcher&);
/** Every known backend server with its state and, as `home`, its owner instance. */
DumpSection backendSection(const FleetView&);

} // namespace HickoryHollow
