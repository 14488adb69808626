/** \file
 * Stores of an instance that reads its settings from files and has no access to a replicated state. submit() and claim()
 * return `Unavailable`; complete() does nothing.
 */
#pragma once

#include "entry/IdempotencyLedger.h"
#include "entry/SettingsStore.h"

namespace HickoryHollow {

class UnavailableSettingsStore final : public SettingsStore {
public:
    Task<SettingsOutcome> submit(const SettingsChange&) override { co_return SettingsOutcome {}; }
};

class UnavailableIdempotencyLedger final : public IdempotencyLedger {
public:
    Task<ClaimResult> claim(const ClaimKey&) override { co_return ClaimResult {}; }
    Task<void> complete(const ClaimKey&, std::uint64_t, Verdict, const HttpResponse&) override { co_return; }
};

} // namespace HickoryHollow
