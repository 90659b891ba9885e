//! Tests of the records of jobs that run many times, and of records that the store rejects.

mod samples;
mod start_samples;
mod working_fleet;

use {
    dotterelshore_domain::{
        names::JobName,
        schedule::{IndexRanges, JobRecord, JobState, RecordCost, record_groups},
    },
    dotterelshore_testkit::named_cases,
    samples::{WALL_MS, sample_job},
    start_samples::sample_step,
    working_fleet::WorkingFleet,
};

/// Longest record that a small entry's link carries in time, and well below what the store takes.
const RECORD_BYTES_MAX: usize = 256 * 1024;
const STEPS: usize = 64;
/// Attempts at a record after which its job may be given up.
const REJECTIONS: usize = 3;

impl WorkingFleet {
    /// The highest run end that the worker may forget.
    fn acknowledged_end(&self) -> u64 {
        self.schedule.acknowledged_end(&Self::worker())
    }

    /// Length of a job's record in the store, in bytes.
    fn stored_bytes(&self, job: &JobName) -> usize {
        let record = self.stored.get(job).map(serde_json::to_vec);
        record.map_or(0, |bytes| bytes.expect("a record").len())
    }
}

/// A job whose steps run many times, all of them due.
fn timed_job(text: &str, steps: usize, times: u32) -> JobRecord {
    let mut job = sample_job(text, sample_step(1, 100));
    job.plan.steps = vec![sample_step(1, 100); steps];
    job.plan.timed_occurrences = times;
    job.plan.start_at_ms = WALL_MS;
    job
}

fn name(text: &str) -> JobName {
    JobName::try_from(text).expect("a name")
}

/// The record of a job with 64 steps outgrew a value of the store after some 200 occurrences, and no
/// end of any worker was acknowledged from then on (review case 7).
fn record_stays_short(times: u32, cpu_milli: u64) {
    let mut fleet = WorkingFleet::new(cpu_milli);
    fleet.submit(timed_job("timed", STEPS, times));
    while fleet.start() > 0 {
        fleet.end_all();
        fleet.record();
        let bytes = fleet.stored_bytes(&name("timed"));
        assert!(bytes < RECORD_BYTES_MAX, "{bytes} bytes");
    }
    assert_eq!(
        fleet.schedule.state(&name("timed")),
        Some(JobState::Completed)
    );
    assert_eq!(fleet.acknowledged_end(), fleet.last_end);
    assert_eq!(fleet.finish(false), STEPS * times as usize);
}

named_cases! { record_stays_short:
    record_of_many_occurrences_stays_short(230, 64_000);
    record_of_many_occurrences_at_once_stays_short(400, 10_000_000);
}

/// The next owner knows from the record which occurrences have ended, and runs none of them again.
#[test]
fn ended_occurrences_do_not_run_again_under_the_next_owner() {
    let mut fleet = WorkingFleet::new(700);
    fleet.submit(timed_job("timed", 3, 40));
    assert_eq!(fleet.finish(true), 3 * 40);
    assert_eq!(
        fleet.schedule.state(&name("timed")),
        Some(JobState::Completed)
    );
}

/// A record that the store rejects held back the ends of all workers (review case 7).
#[test]
fn rejected_record_holds_back_no_other_job_for_long() {
    let mut fleet = WorkingFleet::new(64_000);
    fleet.rejected = vec![name("rejected")];
    fleet.submit(sample_job("before", sample_step(2, 100)));
    fleet.start();
    fleet.end_all();
    fleet.record();
    assert_eq!(fleet.acknowledged_end(), 2);
    fleet.submit(timed_job("rejected", 1, 1_000));
    fleet.submit(sample_job("other", sample_step(2, 100)));
    fleet.start();
    fleet.end_all();
    for _ in 0..REJECTIONS {
        fleet.record();
    }
    let state = fleet.schedule.state(&name("other"));
    assert_eq!(state, Some(JobState::Completed), "its own record is stored");
    fleet.rejected.clear();
    fleet.record();
    assert_eq!(fleet.acknowledged_end(), fleet.last_end);
    let state = fleet.schedule.state(&name("rejected"));
    assert_eq!(state, Some(JobState::Failed), "it can't go on");
}

/// A record that the store takes at last does its job no harm.
#[test]
fn job_goes_on_after_some_rejections() {
    let mut fleet = WorkingFleet::new(200);
    fleet.rejected = vec![name("timed")];
    fleet.submit(timed_job("timed", 1, 10));
    for _ in 1..REJECTIONS {
        fleet.start();
        fleet.end_all();
        fleet.record();
    }
    assert_eq!(fleet.acknowledged_end(), 0, "nothing is stored");
    fleet.rejected.clear();
    assert_eq!(fleet.finish(false), 10);
    let state = fleet.schedule.state(&name("timed"));
    assert_eq!(state, Some(JobState::Completed));
    assert_eq!(fleet.acknowledged_end(), fleet.last_end);
}

/// One record whose writes fail for whatever reason is soon alone, behind the others.
#[test]
fn record_whose_writes_fail_is_soon_alone() {
    let bytes = 100;
    let mut failed_writes = [0; 40];
    for round in 0.. {
        assert!(round < 6, "{failed_writes:?}");
        failed_writes.sort_unstable();
        // The record that can't be stored is the last one with the most failures.
        let costs = failed_writes.map(|failed_writes| RecordCost {
            failed_writes,
            bytes,
        });
        let groups = record_groups(&costs);
        let failing = groups.last().expect("a group").clone();
        if failing.len() == 1 {
            break;
        }
        failed_writes[..failing.start].fill(0);
        failed_writes[failing]
            .iter_mut()
            .for_each(|count| *count += 1);
    }
    let long = [RecordCost {
        failed_writes: 0,
        bytes: 100_000,
    }; 3];
    assert_eq!(record_groups(&long), [0..1, 1..2, 2..3], "by their length");
}

/// A job whose record alone fails for long, while others are stored, fails.
#[test]
fn job_whose_record_is_never_stored_fails() {
    let mut fleet = WorkingFleet::new(64_000);
    fleet.submit(timed_job("timed", 1, 1_000));
    let fail = |fleet: &mut WorkingFleet, is_alone| {
        let (job, now_ms) = (name("timed"), 0);
        fleet
            .schedule
            .note_failed_write(&job, is_alone, now_ms, WALL_MS);
        fleet.schedule.state(&job)
    };
    for _ in 0..100 {
        assert_eq!(fail(&mut fleet, false), Some(JobState::Queued));
    }
    fail(&mut fleet, true);
    fleet.record();
    assert_eq!(fleet.schedule.state(&name("timed")), Some(JobState::Failed));
}

/// Ranges that touch or overlap become one.
fn ranges_are_joined(ranges: &[(u32, u32)], expected: &[(u32, u32)]) {
    let set = IndexRanges::from(ranges.to_vec());
    for (first, after) in expected {
        assert!(set.contains(*first) && set.contains(after - 1), "{set:?}");
        assert!(!set.contains(*after), "{set:?}");
    }
    assert_eq!(Vec::from(set), expected);
}

named_cases! { ranges_are_joined:
    separate_ranges_stay(&[(4, 6), (0, 2)], &[(0, 2), (4, 6)]);
    ranges_that_touch_are_joined(&[(4, 6), (0, 4)], &[(0, 6)]);
    range_that_fills_a_gap_joins_both_sides(&[(4, 6), (0, 2), (2, 4)], &[(0, 6)]);
    range_over_others_replaces_them(&[(1, 2), (3, 4), (0, 9)], &[(0, 9)]);
    reversed_range_is_empty(&[(5, 3), (1, 2)], &[(1, 2)]);
    last_index_is_kept(&[(u32::MAX - 1, u32::MAX)], &[(u32::MAX - 1, u32::MAX)]);
}
