/** \file
 * Converts commands, outcomes and the replicated state of the ledger to their Thrift types and back.
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
/** Returns nothing when the command is missing or of a type that this version does not know. */
std::optional<CommandBody> fromWire(const Wire::CommandBody&);
Wire::CommandOutcome toWire(const CommandOutcome&);
/** Returns NoOutcome when no field is set. */
CommandOutcome fromWire(const Wire::CommandOutcome&);
Wire::Settings toWire(const SharedState::Settings&);
SharedState::Settings fromWire(const Wire::Settings&);

Wire::RoutingDocument toWire(const RoutingDocument&);
RoutingDocument fromWire(const Wire::RoutingDocument&);

/** Encodes the command of a log entry. */
std::string encodeCommand(const LedgerCommand&);
/** Returns nothing when the bytes are not a valid command or its type is unknown. */
std::optional<LedgerCommand> decodeCommand(std::string_view);
/** Encodes the whole state for a snapshot. */
std::string encodeState(const SharedState&);
/** Replaces the contents of `state`. Returns false and leaves it unchanged when the bytes are not a valid state. */
bool decodeState(std::string_view, SharedState& state);

} // namespace HickoryHollow
