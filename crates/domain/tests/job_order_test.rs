//! Which job goes first, and what that does to a peak.

use {
    dotterelshore_domain::schedule::{JobUrgency, OrderRule},
    dotterelshore_testkit::named_cases,
};

/// Some time of the schedule's clock, in milliseconds.
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
        late_ms: arrived_ms + 3 * objective,
    }
}

/// The first goes before the second.
fn goes_first(first: JobUrgency, second: JobUrgency) {
    let key = |urgency: JobUrgency| urgency.key(OrderRule::Objective, NOW_MS);
    assert!(key(first) < key(second), "{first:?} before {second:?}");
}

fn beyond(urgency: JobUrgency) -> JobUrgency {
    JobUrgency {
        over_share: true,
        ..urgency
    }
}

fn lasting() -> JobUrgency {
    JobUrgency {
        long_running: true,
        ..urgency(NOW_MS, 0, false)
    }
}

named_cases! { goes_first:
    work_in_time_before_work_too_late(urgency(9_900, 800, false), urgency(7_000, 800, false));
    begun_before_not_begun(urgency(9_900, 800, true), urgency(9_500, 800, false));
    the_less_slack_first(urgency(9_500, 800, false), urgency(9_900, 800, false));
    late_before_worthless(urgency(7_500, 800, false), urgency(1_000, 800, false));
    share_before_what_is_beyond(urgency(9_900, 800, false), beyond(urgency(9_500, 800, false)));
    late_share_before_what_is_beyond(urgency(7_500, 800, false), beyond(urgency(9_900, 800, false)));
    begun_beyond_before_not_begun(beyond(urgency(9_900, 800, true)), urgency(9_500, 800, false));
    lasting_before_all(lasting(), urgency(9_900, 800, true));
}

/// A pool of `room` slots gets `share` times what it can do, jobs of two steps that each
/// take a slot for 800 ms; returns how many of them end within their objective.
fn in_time(rule: OrderRule, share: f64, room: usize) -> usize {
    const STEP_MS: u64 = 100;
    const WORK_MS: u64 = 800;
    const END_MS: u64 = 12_000;
    let mut jobs: Vec<(JobUrgency, u64)> = Vec::new();
    let mut running: Vec<(usize, u64)> = Vec::new();
    let (mut owed, mut served, mut now_ms) = (0.0, 0, 0);
    while now_ms < END_MS {
        if now_ms < END_MS / 3 {
            owed += share * f64::from(u32::try_from(room).expect("a small room")) / 16.0;
        }
        while owed >= 1.0 {
            owed -= 1.0;
            jobs.push((urgency(now_ms, 2 * WORK_MS, false), 2));
        }
        running.retain(|(job, until)| {
            if *until > now_ms {
                return true;
            }
            let (urgency, left) = &mut jobs[*job];
            *left -= 1;
            urgency.critical_path_ms -= WORK_MS;
            served += usize::from(*left == 0 && now_ms <= urgency.objective_ms);
            false
        });
        let mut waiting: Vec<usize> = (0..jobs.len())
            .filter(|job| jobs[*job].1 > 0 && !running.iter().any(|(other, _)| other == job))
            .collect();
        waiting.sort_by_key(|job| jobs[*job].0.key(rule, now_ms));
        for job in waiting {
            if running.len() < room {
                jobs[job].0.started = true;
                running.push((job, now_ms + WORK_MS));
            }
        }
        now_ms += STEP_MS;
    }
    served
}

/// At a peak more callers are served in time than in the order of arrival.
fn peak_served(share: f64, gain: usize) {
    let chosen = in_time(OrderRule::Objective, share, 32);
    let baseline = in_time(OrderRule::FirstCome, share, 32);
    assert!(chosen >= baseline + gain, "{chosen} against {baseline}");
}

named_cases! { peak_served:
    no_worse_below_the_room(0.8, 0);
    better_at_twice_the_room(2.0, 20);
    better_at_five_times_the_room(5.0, 20);
}
