//! Tests of the order of jobs and its effect at a peak.

use {
    dotterelshore_domain::schedule::{JobUrgency, OrderRule},
    dotterelshore_testkit::named_cases,
};

/// Start time on the schedule's clock, in milliseconds.
const NOW_MS: u64 = 10_000;

fn urgency(arrived_ms: u64, critical_path_ms: u64, started: bool) -> JobUrgency {
    let objective = critical_path_ms * 8 / 5 + 600;
    JobUrgency {
        priority: 0,
        long_running: false,
        started,
        over_share: false,
        arrived_ms,
        objective_ms: arrived_ms + objective,
        critical_path_ms,
        late_deadline_ms: arrived_ms + 3 * objective,
    }
}

/// Checks that the first job goes before the second.
fn goes_first(first: JobUrgency, second: JobUrgency) {
    let key = |urgency: JobUrgency| urgency.sort_key(OrderRule::Objective, NOW_MS);
    assert!(key(first) < key(second), "{first:?} before {second:?}");
}

fn over_share_job(urgency: JobUrgency) -> JobUrgency {
    JobUrgency {
        over_share: true,
        ..urgency
    }
}

fn long_running_job() -> JobUrgency {
    JobUrgency {
        long_running: true,
        ..urgency(NOW_MS, 0, false)
    }
}

named_cases! { goes_first:
    job_in_time_goes_before_late_job(urgency(9_900, 800, false), urgency(7_000, 800, false));
    started_job_goes_before_unstarted_job(urgency(9_900, 800, true), urgency(9_500, 800, false));
    job_with_less_slack_goes_first(urgency(9_500, 800, false), urgency(9_900, 800, false));
    late_job_goes_before_job_past_late_deadline(urgency(7_500, 800, false), urgency(1_000, 800, false));
    job_within_share_goes_before_job_over_share(urgency(9_900, 800, false), over_share_job(urgency(9_500, 800, false)));
    late_job_within_share_goes_before_job_over_share(urgency(7_500, 800, false), over_share_job(urgency(9_900, 800, false)));
    started_job_over_share_goes_before_unstarted_job(over_share_job(urgency(9_900, 800, true)), urgency(9_500, 800, false));
    long_running_job_goes_before_all(long_running_job(), urgency(9_900, 800, true));
}

/// Simulates a pool of `slots` slots with `load` times the work that it can serve, in jobs of
/// two steps that each take a slot for 800 ms. Returns how many of them complete within their
/// objective.
fn count_in_time(rule: OrderRule, load: f64, slots: usize) -> usize {
    const STEP_MS: u64 = 100;
    const WORK_MS: u64 = 800;
    const END_MS: u64 = 12_000;
    let mut jobs: Vec<(JobUrgency, u64)> = Vec::new();
    let mut running: Vec<(usize, u64)> = Vec::new();
    let (mut credit, mut served, mut now_ms) = (0.0, 0, 0);
    while now_ms < END_MS {
        if now_ms < END_MS / 3 {
            credit += load * f64::from(u32::try_from(slots).expect("a small pool")) / 16.0;
        }
        while credit >= 1.0 {
            credit -= 1.0;
            jobs.push((urgency(now_ms, 2 * WORK_MS, false), 2));
        }
        running.retain(|(job, until)| {
            if *until > now_ms {
                return true;
            }
            let (urgency, remaining_steps) = &mut jobs[*job];
            *remaining_steps -= 1;
            urgency.critical_path_ms -= WORK_MS;
            served += usize::from(*remaining_steps == 0 && now_ms <= urgency.objective_ms);
            false
        });
        let mut waiting: Vec<usize> = (0..jobs.len())
            .filter(|job| jobs[*job].1 > 0 && !running.iter().any(|(other, _)| other == job))
            .collect();
        waiting.sort_by_key(|job| jobs[*job].0.sort_key(rule, now_ms));
        for job in waiting {
            if running.len() < slots {
                jobs[job].0.started = true;
                running.push((job, now_ms + WORK_MS));
            }
        }
        now_ms += STEP_MS;
    }
    served
}

/// At a peak, more jobs complete in time under the objective rule than in order of arrival.
fn more_in_time_at_peak(load: f64, gain: usize) {
    let chosen = count_in_time(OrderRule::Objective, load, 32);
    let baseline = count_in_time(OrderRule::FirstCome, load, 32);
    assert!(chosen >= baseline + gain, "{chosen} against {baseline}");
}

named_cases! { more_in_time_at_peak:
    objective_rule_is_no_worse_below_capacity(0.8, 0);
    objective_rule_is_better_at_twice_the_capacity(2.0, 20);
    objective_rule_is_better_at_five_times_the_capacity(5.0, 20);
}
