//! One entry's own permits of one team.

/// What this entry may have running of a team, and what it has.
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
    /// Takes one permit for a run, or says that there is none.
    pub fn try_acquire(&mut self) -> bool {
        let free = self.has_free();
        if free {
            self.running += 1;
        }
        free
    }

    /// Whether a permit could be taken.
    pub fn has_free(&self) -> bool {
        self.running + self.reserved < self.held
    }

    /// Keeps `permits` from being taken again, so that they can be handed over or given
    /// back as their runs end.
    pub fn reserve(&mut self, permits: u32) {
        self.reserved = permits.min(self.held);
    }

    /// Permits kept back.
    pub fn reserved(&self) -> u32 {
        self.reserved
    }

    /// Returns the permit of a run that surely ended.
    pub fn end_run(&mut self) {
        debug_assert!(self.running > 0, "a run ended that never began");
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

    /// Permits held and not in use.
    pub fn idle(&self) -> u32 {
        self.held.saturating_sub(self.running)
    }

    /// Permits that could be taken.
    pub fn free(&self) -> u32 {
        self.idle().saturating_sub(self.reserved)
    }

    /// Takes over what the store recorded, after the record was raised.
    pub fn raise_to(&mut self, recorded: u32) {
        self.held = self.held.max(recorded);
    }

    /// Gives up idle permits before the record is lowered, and returns what is kept.
    /// Permits in use are never given up.
    pub fn release_idle(&mut self, surplus: u32) -> u32 {
        let given = surplus.min(self.idle());
        self.held -= given;
        self.reserved = self.reserved.saturating_sub(given);
        self.held
    }

    /// Notes what the team would use here, waiting and running.
    pub fn record_demand(&mut self, waiting: u32) {
        self.peak_demand = self.peak_demand.max(waiting + self.running);
    }

    /// The highest demand since this was last asked.
    pub fn take_peak_demand(&mut self) -> u32 {
        std::mem::replace(&mut self.peak_demand, self.running)
    }
}
