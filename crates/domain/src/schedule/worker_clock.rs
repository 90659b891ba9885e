//! The clock of a worker, by which the leases of its runs are timed, as its reports show it.

/// Longest age of a reading by which a lease is timed, in milliseconds. By the clock of an earlier incarnation a
/// lease could last as long as the platform allows, so that a reading has to be younger than a restart takes.
const READING_AGE_MAX_MS: u64 = 500;
/// How far behind the last reading the clock in a response may be, in milliseconds: responses on other
/// connections may overtake it.
const BEHIND_READING_MAX_MS: u64 = 1_000;
/// How far ahead of what the last reading says it may be, in milliseconds: a reading may have waited in this
/// process.
const AHEAD_OF_READING_MAX_MS: u64 = 10_000;

/// Reading of a clock, with the local time at which it arrived.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    clock_ms: u64,
    at_ms: u64,
}

impl ClockReading {
    /// Returns what the clock shows now.
    fn expected_ms(self, now_ms: u64) -> u64 {
        self.clock_ms + now_ms.saturating_sub(self.at_ms)
    }
}

/// The clock of one worker, and the order of the reports that show it: two polls may be open at a time.
#[derive(Debug, Default)]
pub struct WorkerClock {
    reading: Option<ClockReading>,
    /// The incarnation that the last report was of, by its start.
    started_ms: Option<u64>,
    /// The number of polls sent.
    polls: u64,
    /// The last poll whose report counted.
    reported_poll: u64,
    /// The first poll that was sent after the incarnation was known.
    first_poll: u64,
}

impl WorkerClock {
    /// Whether the clock was read so shortly before that leases may be timed by it.
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        let is_young =
            |reading: ClockReading| now_ms.saturating_sub(reading.at_ms) <= READING_AGE_MAX_MS;
        self.reading.is_some_and(is_young)
    }

    /// Returns what the clock shows now; `None` if it was not read shortly before.
    pub fn now_ms(&self, now_ms: u64) -> Option<u64> {
        let reading = self.reading.filter(|_| self.is_fresh(now_ms))?;
        Some(reading.expected_ms(now_ms))
    }

    /// Returns the number of a poll that is sent now.
    pub fn begin_poll(&mut self) -> u64 {
        self.polls += 1;
        self.polls
    }

    /// Whether the report of a poll that was sent later has counted.
    pub fn is_overtaken(&self, poll: u64) -> bool {
        poll < self.reported_poll
    }

    /// Records the reading in the report of a poll. Returns whether the report counts: it does not if it
    /// may be older than one that did, or the poll was sent to an earlier incarnation.
    pub fn record_report(
        &mut self,
        poll: u64,
        started_ms: Option<u64>,
        clock_ms: u64,
        now_ms: u64,
    ) -> bool {
        let is_same = started_ms == self.started_ms;
        let is_later = self
            .reading
            .is_some_and(|reading| is_same && clock_ms >= reading.clock_ms);
        if poll < self.first_poll || self.is_overtaken(poll) && !is_later {
            return false;
        }
        if !is_same {
            self.first_poll = self.polls + 1;
        }
        self.started_ms = started_ms;
        self.reported_poll = self.reported_poll.max(poll);
        let at_ms = now_ms;
        self.reading = Some(ClockReading { clock_ms, at_ms });
        true
    }

    /// Whether a clock in a response may be the one that was read last, so that no other incarnation
    /// answered.
    pub fn agrees(&self, clock_ms: u64, now_ms: u64) -> bool {
        self.reading.is_none_or(|reading| {
            clock_ms + BEHIND_READING_MAX_MS >= reading.clock_ms
                && clock_ms <= reading.expected_ms(now_ms) + AHEAD_OF_READING_MAX_MS
        })
    }

    /// Forgets the reading, which is of another incarnation. Reports of polls that are open do not count.
    pub fn forget(&mut self) {
        self.reading = None;
        self.first_poll = self.polls + 1;
    }
}
