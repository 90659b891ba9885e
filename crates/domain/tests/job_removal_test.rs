//! Tests of ended jobs whose records are removed from the store: none is run again.

mod samples;
mod start_samples;
mod working_fleet;

use {
    dotterelshore_domain::{
        names::JobName,
        schedule::{FleetSchedule, JobRecord, JobState},
    },
    dotterelshore_testkit::named_cases,
    samples::{NOW_MS, WALL_MS, sample_job},
    start_samples::{ordered_starts, sample_step},
    working_fleet::WorkingFleet,
};

const RETENTION_MS: u64 = 30_000;
/// A time after the retention of the job.
const LATER_MS: u64 = RETENTION_MS + 1_000;

fn record() -> JobRecord {
    sample_job("job", sample_step(1, 2_000))
}

fn name() -> JobName {
    record().name
}

/// A fleet with a job that is completed and recorded, and was ordered to be removed.
fn fleet_with_expired_job() -> WorkingFleet {
    let mut fleet = WorkingFleet::new(64_000);
    fleet.submit(record());
    assert_eq!(fleet.finish(false), 1);
    assert_eq!(expire(&mut fleet.schedule), vec![name()]);
    fleet
}

fn with_expired_job() -> FleetSchedule {
    fleet_with_expired_job().schedule
}

fn expire(schedule: &mut FleetSchedule) -> Vec<JobName> {
    schedule.expire_ended_jobs(RETENTION_MS, WALL_MS + LATER_MS)
}

/// Reads a record from the store, as after a dropped history, and returns the starts that follow.
fn starts_after_read(schedule: &mut FleetSchedule, record: JobRecord) -> usize {
    let (now_ms, wall_ms) = (NOW_MS + LATER_MS, WALL_MS + LATER_MS);
    schedule.add_job(record, None, 0, now_ms, wall_ms);
    ordered_starts(schedule, now_ms, wall_ms).len()
}

/// A completed job was run again when the store refused the removal of its record, and the owner
/// read that again after the store had dropped its history (review case 6).
#[test]
fn job_whose_removal_was_refused_does_not_run_again() {
    let mut schedule = with_expired_job();
    assert_eq!(starts_after_read(&mut schedule, record()), 0);
    assert_eq!(schedule.state(&name()), Some(JobState::Completed));
}

#[test]
fn refused_removal_is_ordered_again() {
    let mut fleet = fleet_with_expired_job();
    fleet
        .schedule
        .forget_missing(&[name()].into_iter().collect());
    assert_eq!(expire(&mut fleet.schedule), vec![name()], "it is listed");
    fleet.take_over();
    assert_eq!(expire(&mut fleet.schedule), vec![name()], "the next owner");
}

/// A job is forgotten once its record is gone.
fn job_is_forgotten(see: fn(&mut FleetSchedule)) {
    let mut schedule = with_expired_job();
    see(&mut schedule);
    assert_eq!(schedule.state(&name()), None);
    assert_eq!(expire(&mut schedule), Vec::new());
}

named_cases! { job_is_forgotten:
    job_is_forgotten_when_its_removal_is_seen(|schedule| {
        assert!(schedule.forget_removed(&name()));
    });
    job_is_forgotten_when_the_store_does_not_list_it(|schedule| {
        schedule.forget_missing(&[].into_iter().collect());
    });
}

/// The loss of the record of a job that was not to be removed does not lose the job.
#[test]
fn job_is_known_although_its_record_is_lost() {
    let mut schedule = FleetSchedule::default();
    schedule.add_job(record(), None, 0, NOW_MS, WALL_MS);
    assert!(!schedule.forget_removed(&name()));
    schedule.forget_missing(&[].into_iter().collect());
    assert_eq!(schedule.state(&name()), Some(JobState::Queued));
}

/// Another job may have the name of one that was removed, before the owner sees the removal.
#[test]
fn other_job_under_the_name_runs() {
    let mut schedule = with_expired_job();
    let other = JobRecord {
        accepted_ms: WALL_MS + LATER_MS,
        ..record()
    };
    assert_eq!(starts_after_read(&mut schedule, other), 1);
    assert!(!schedule.forget_removed(&name()), "it is not to be removed");
}
