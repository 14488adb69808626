/** \file
 * Commands, outcomes and the state machine of the ledger to their Thrift form and back.
 */
#pragma once

#include "ledger/SharedState.h"

#include <optional>
#include <string>
#include <string_view>

namespace HickoryHollow::Wire {
class CommandBody;
class CommandOutcome;
class RoutingDocument;
class Settings;
}

namespace HickoryHollow {

Wire::CommandBody toWire(const CommandBody&);
std::optional<CommandBody> fromWire(const Wire::CommandBody&);
Wire::CommandOutcome toWire(const CommandOutcome&);
CommandOutcome fromWire(const Wire::CommandOutcome&);
Wire::Settings toWire(const SharedState::Settings&);
SharedState::Settings fromWire(const Wire::Settings&);

Wire::RoutingDocument toWire(const RoutingDocument&);
RoutingDocument fromWire(const Wire::RoutingDocument&);

std::string encodeCommand(const LedgerCommand&);
std::optional<LedgerCommand> decodeCommand(std::string_view);
std::string encodeState(const SharedState&);
/** Replaces `state`; false when the bytes are no state. */
bool decodeState(std::string_view, SharedState& state);

} // namespace HickoryHollow
