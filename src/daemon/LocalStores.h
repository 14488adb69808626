/** \file
 * Stores of an instance that knows no replicated state: settings come from files, and nothing can be claimed.
 */
#pragma once

#include "entry/IdempotencyLedger.h"
#include "entry/SettingsStore.h"

namespace HickoryHollow {

class NoSettingsStore final : public SettingsStore {
public:
    Task<SettingsOutcome> submit(const SettingsChange&) override { co_return SettingsOutcome {}; }
};

class NoOnceLedger final : public IdempotencyLedger {
public:
    Task<ClaimResult> claim(const ClaimKey&) override { co_return ClaimResult {}; }
    Task<void> complete(const ClaimKey&, std::uint64_t, Verdict, const HttpResponse&) override { co_return; }
};

} // namespace HickoryHollow
