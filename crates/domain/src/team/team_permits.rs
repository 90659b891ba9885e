//! The permits of one team that this entry holds.

/// The permits of one team that this entry holds, and those in use.
///
/// `held` never exceeds what the ledger in the store records for this entry:
/// it is lowered before the record is, and raised after.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TeamPermits {
    held: u32,
    running: u32,
    reserved: u32,
    peak_demand: u32,
}

impl TeamPermits {
    /// Acquires one permit for a run; returns false if none is free.
    pub fn try_acquire(&mut self) -> bool {
        let free = self.has_free();
        if free {
            self.running += 1;
        }
        free
    }

    /// Whether a permit can be acquired.
    pub fn has_free(&self) -> bool {
        self.running + self.reserved < self.held
    }

    /// Keeps `permits` from being acquired again, so that they can be handed over or
    /// released to the ledger as their runs end.
    pub fn reserve(&mut self, permits: u32) {
        self.reserved = permits.min(self.held);
    }

    /// Permits kept from being acquired.
    pub fn reserved(&self) -> u32 {
        self.reserved
    }

    /// Releases the permit of a run that has definitely ended.
    pub fn end_run(&mut self) {
        debug_assert!(self.running > 0, "a run ended without a permit");
        self.running = self.running.saturating_sub(1);
    }

    /// Permits in use.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Permits this entry may use.
    pub fn held(&self) -> u32 {
        self.held
    }

    /// Permits held but not in use.
    pub fn idle(&self) -> u32 {
        self.held.saturating_sub(self.running)
    }

    /// Permits that can be acquired.
    pub fn free(&self) -> u32 {
        self.idle().saturating_sub(self.reserved)
    }

    /// Raises the permits held to what the ledger records, after the ledger was raised.
    pub fn raise_to(&mut self, recorded: u32) {
        self.held = self.held.max(recorded);
    }

    /// Releases up to `surplus` idle permits before the ledger is lowered, and returns
    /// the number still held. Permits in use are never released.
    pub fn release_idle(&mut self, surplus: u32) -> u32 {
        let released = surplus.min(self.idle());
        self.held -= released;
        self.reserved = self.reserved.saturating_sub(released);
        self.held
    }

    /// Records the team's current demand here: `waiting` plus its runs.
    pub fn record_demand(&mut self, waiting: u32) {
        self.peak_demand = self.peak_demand.max(waiting + self.running);
    }

    /// Returns the peak demand since the last call and resets it.
    pub fn take_peak_demand(&mut self) -> u32 {
        std::mem::replace(&mut self.peak_demand, self.running)
    }
}
