//! Limits backfill: starts of jobs while others in front of them find no room.

use super::job_plan::Resources;

/// Jobs in a row without room after which a nearly full pool starts no others.
const BACKFILL_DEPTH: usize = 12;
/// Share of a pool's processor capacity in use from which on it is nearly full, in percent.
/// Callers expect each job that finds room to start while less than half is in use.
const NEARLY_FULL_PERCENT: u64 = 75;

/// Keeps the room that becomes free in a nearly full pool for the jobs in front: jobs far behind
/// would take each part that is too small for these before it grows. Tasks that last are exempt.
#[derive(Debug, Default)]
pub(super) struct BackfillLimit {
    without_room: usize,
    is_reached: bool,
}

impl BackfillLimit {
    /// Whether only tasks that last may start in the rest of the planning pass.
    pub(super) fn is_reached(&self) -> bool {
        self.is_reached
    }

    /// Records that a job started a task.
    pub(super) fn record_start(&mut self) {
        self.without_room = 0;
    }

    /// Records that a job found no room in a pool with the use and the capacity that `pool_use`
    /// returns.
    pub(super) fn record_without_room(
        &mut self,
        pool_use: impl FnOnce() -> (Resources, Resources),
    ) {
        self.without_room += 1;
        // The use does not change until a job starts a task, which resets the count.
        if self.without_room == BACKFILL_DEPTH {
            let (in_use, capacity) = pool_use();
            self.is_reached |= is_nearly_full(in_use, capacity);
        }
    }
}

fn is_nearly_full(in_use: Resources, capacity: Resources) -> bool {
    let full = capacity.cpu_milli.saturating_mul(NEARLY_FULL_PERCENT);
    in_use.cpu_milli.saturating_mul(100) >= full
}
