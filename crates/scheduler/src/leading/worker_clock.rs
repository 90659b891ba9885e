//! The clock of a worker, by which the leases of its runs are timed.

use {
    super::takeover::WORKER_LEASE,
    crate::node::{SchedulerNode, lock, millis},
    dotterelshore_domain::names::WorkerName,
    std::sync::Mutex,
};

/// Longest age of a reading by which a lease is timed, in milliseconds. A worker that crashes is back
/// later under its name: by the clock of the incarnation before, its lease could last as long as the platform
/// allows.
const READING_AGE_MAX_MS: u64 = 500;

/// How far behind the last reading the clock in a response may be, in milliseconds: responses on other
/// connections may overtake it.
const BEHIND_READING_MAX_MS: u64 = 1_000;
/// How far ahead of what the last reading says it may be, in milliseconds: a reading may have waited in this
/// process.
const AHEAD_OF_READING_MAX_MS: u64 = 10_000;

/// Reading of a worker's clock, with the local time at which it arrived.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    clock_ms: u64,
    at_ms: u64,
}

impl ClockReading {
    fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.at_ms)
    }
}

#[derive(Debug, Default)]
struct ClockState {
    reading: Option<ClockReading>,
    /// The number of polls sent.
    polls: u64,
    /// The number of the last poll whose report counts.
    reported_poll: u64,
}

/// The clock of one worker, as last read; shared by the worker's tasks.
#[derive(Debug)]
pub(super) struct WorkerClock {
    pub(super) name: WorkerName,
    state: Mutex<ClockState>,
}

impl WorkerClock {
    pub(super) fn new(name: WorkerName) -> Self {
        Self {
            name,
            state: Mutex::default(),
        }
    }

    /// Whether the clock was read just before.
    pub(super) fn is_read(&self, now_ms: u64) -> bool {
        let reading = lock(&self.state).reading;
        reading.is_some_and(|reading| reading.age_ms(now_ms) <= READING_AGE_MAX_MS)
    }

    /// Returns the end of a lease that begins now, on the worker's clock; `None` if its clock was not
    /// read just before.
    pub(super) fn lease_until(&self, node: &SchedulerNode, now_ms: u64) -> Option<u64> {
        let reading = lock(&self.state).reading?;
        let age_ms = reading.age_ms(now_ms);
        let lease = WORKER_LEASE.min(node.settings.worker_lease_max);
        (age_ms <= READING_AGE_MAX_MS).then(|| reading.clock_ms + age_ms + millis(lease))
    }

    /// Returns the number of a poll that is sent now.
    pub(super) fn begin_poll(&self) -> u64 {
        let mut state = lock(&self.state);
        state.polls += 1;
        state.polls
    }

    /// Records the reading in the report of a poll. Returns whether the report counts: reports of two
    /// polls that are open at a time may arrive in any order.
    pub(super) fn record_report(&self, poll: u64, clock_ms: u64, now_ms: u64) -> bool {
        let mut state = lock(&self.state);
        if poll < state.reported_poll {
            return false;
        }
        state.reported_poll = poll;
        state.reading = Some(ClockReading {
            clock_ms,
            at_ms: now_ms,
        });
        true
    }

    /// Whether a clock in a response may be the one that was read last, so that no other incarnation
    /// answered.
    pub(super) fn agrees(&self, clock_ms: u64, now_ms: u64) -> bool {
        let reading = lock(&self.state).reading;
        reading.is_none_or(|reading| {
            let expected_ms = reading.clock_ms + reading.age_ms(now_ms);
            clock_ms + BEHIND_READING_MAX_MS >= reading.clock_ms
                && clock_ms <= expected_ms + AHEAD_OF_READING_MAX_MS
        })
    }

    /// Forgets the reading, which is of another incarnation.
    pub(super) fn forget(&self) {
        lock(&self.state).reading = None;
    }
}
