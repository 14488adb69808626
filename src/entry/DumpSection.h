/** \file
 * One part of a process's state for the dump on request.
 */
#pragma once

#include <boost/json/value.hpp>
#include <functional>
#include <string>
#include <vector>

namespace HickoryHollow {

/** `read` is called from an event loop; it holds no key and no body of a request. */
struct DumpSection {
    std::string name;
    std::function<boost::json::value()> read;
};

using DumpSections = std::vector<DumpSection>;

class Dispatcher;
class FleetView;

/** Queue, load and slowness as the scheduler sees them. */
DumpSection schedulerSection(const Dispatcher&);
/** Every known backend server with its state and home. */
DumpSection backendSection(const FleetView&);

} // namespace HickoryHollow
