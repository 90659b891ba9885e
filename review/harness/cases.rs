//! The cases. Each returns whether its rule was broken, or `None` if it could not be judged.

use {
    crate::{
        entries::{Deployment, Step, Tenant, kind},
        record::Record,
        store::StoreMode,
        workers::{Observed, TaskKind},
    },
    std::{path::Path, sync::Arc, thread::sleep, time::Duration},
};

pub fn run(case: &str, trouble: bool, record: &Arc<Record>, folder: &Path) -> Option<bool> {
    let start = |workers| Deployment::start(Arc::clone(record), folder.to_owned(), workers);
    match case {
        "unseen-ends" => unseen_ends(start(2), trouble),
        "capped-tenant" => capped_tenant(start(6), trouble),
        "quota-takeover" => quota_takeover(start(3), trouble),
        "pending-count" => pending_count(start(3), trouble),
        "gang-restart" => gang_restart(start(3), trouble),
        "long-tasks" => long_tasks(start(6), trouble),
        _ => None,
    }
}

fn seconds(seconds: f64) {
    sleep(Duration::from_secs_f64(seconds));
}

fn job_id(number: u64) -> String {
    format!("{:016x}", 0x5c0e_7a21_0000_0000 + number)
}

fn step(count: u64, kind: TaskKind) -> Step {
    let estimate_ms = kind.takes.map_or(900, |takes| takes.as_millis() as u64);
    Step { count, kind, estimate_ms, anti_affinity: 0, near: "" }
}

/// Starts of a task after one of its runs had ended as done, where that end was acknowledged at
/// some time.
fn starts_after_done(observed: &Observed) -> Vec<String> {
    let mut found = Vec::new();
    for (task, starts) in &observed.starts {
        let done = observed.done.get(task).into_iter().flatten().filter(|done| done.acknowledged);
        for done in done {
            for start in starts.iter().filter(|start| start.at_ms > done.ended_ms) {
                found.push(format!(
                    "{task}: run {} ended done at {} ms, run {} starts at {} ms on {}",
                    done.run, done.ended_ms, start.run, start.at_ms, start.worker
                ));
            }
        }
    }
    found
}

/// The store is down for three seconds while workers go through many short tasks.
fn unseen_ends(mut deployment: Deployment, trouble: bool) -> Option<bool> {
    let record = Arc::clone(&deployment.record);
    deployment.configure(&[Tenant { name: "alpha", cap_cpu: 0 }]);
    deployment.start_entries(3);
    seconds(4.0);
    let jobs: Vec<String> = (0..16).map(job_id).collect();
    for (number, job) in jobs.iter().enumerate() {
        let steps = [step(250, kind("alpha", 500, 300))];
        if !deployment.submit(number % 3, job, "alpha", &steps) {
            return None;
        }
    }
    seconds(1.0);
    if trouble {
        record.say("the store is down");
        deployment.set_store_mode(StoreMode::Busy);
    }
    for _ in 0..12 {
        seconds(0.25);
        record.say(&format!("ends not acknowledged: {:?}", deployment.fleet.unacknowledged()));
    }
    if trouble {
        deployment.set_store_mode(StoreMode::Up);
        deployment.store.extend_leases(Duration::from_secs(3));
        record.say("the store is back");
    }
    for _ in 0..40 {
        seconds(1.0);
        let completed = |job: &String| deployment.state(0, job, "alpha") == "completed";
        if jobs.iter().all(completed) {
            break;
        }
    }
    seconds(1.0);
    let again = deployment.fleet.observe(starts_after_done);
    let overlaps = deployment.fleet.observe(|observed| observed.overlaps.len());
    let starts = deployment.fleet.observe(|o| o.starts.values().map(Vec::len).sum::<usize>());
    record.say(&format!("{} tasks, {starts} starts", 16 * 250));
    record.say(&format!("{} starts after an acknowledged end as done", again.len()));
    record.say(&format!("{overlaps} starts beside an earlier run"));
    again.iter().take(5).for_each(|line| record.say(line));
    Some(!again.is_empty() || overlaps > 0)
}

/// A new configuration lowers a tenant's cap far below what the tenant sends.
fn capped_tenant(mut deployment: Deployment, trouble: bool) -> Option<bool> {
    let record = Arc::clone(&deployment.record);
    let tenants = |alpha_cpu| {
        [
            Tenant { name: "alpha", cap_cpu: alpha_cpu },
            Tenant { name: "beta", cap_cpu: 200_000 },
        ]
    };
    deployment.configure(&tenants(200_000));
    deployment.start_entries(3);
    seconds(4.0);
    if trouble {
        deployment.configure(&tenants(4_000));
    }
    seconds(2.0);
    let lasting = |tenant: &str, cpu| TaskKind { takes: None, ..kind(tenant, cpu, 0) };
    for number in 0..14 {
        let steps = [step(2, lasting("alpha", 4_000))];
        if !deployment.submit(0, &job_id(number), "alpha", &steps) {
            return None;
        }
    }
    seconds(1.0);
    let (lasts, ends) = (job_id(100), job_id(101));
    let accepted = deployment.submit(1, &lasts, "beta", &[step(2, lasting("beta", 4_000))])
        && deployment.submit(2, &ends, "beta", &[step(4, kind("beta", 4_000, 800))]);
    if !accepted {
        return None;
    }
    record.say("the traffic ends");
    seconds(14.0);
    let mut idle_s = [0.0_f64; 2];
    for _ in 0..40 {
        seconds(0.25);
        for (job, idle_s) in [&lasts, &ends].into_iter().zip(&mut idle_s) {
            let state = deployment.state(1, job, "beta");
            let waits = deployment.fleet.running(job) == 0 && state != "completed";
            *idle_s = if waits { *idle_s + 0.25 } else { 0.0 };
        }
    }
    let used = deployment.fleet.used_cpu();
    record.say(&format!("cpu in use on all workers: {used} of {}", 6 * 64_000));
    for (job, idle_s) in [&lasts, &ends].into_iter().zip(idle_s) {
        let starts = deployment.fleet.observe(|observed| {
            observed.starts.iter().filter(|(task, _)| task.starts_with(job.as_str())).count()
        });
        record.say(&format!("beta's job {job}: {starts} tasks started, idle for {idle_s} s"));
    }
    Some(idle_s.iter().any(|idle_s| *idle_s >= 3.0))
}

/// The zone of the owner of the schedule is cut off from the others, with its worker. Clients
/// still reach it.
fn quota_takeover(mut deployment: Deployment, trouble: bool) -> Option<bool> {
    let record = Arc::clone(&deployment.record);
    let cap_cpu = 64_000;
    deployment.configure(&[Tenant { name: "alpha", cap_cpu }]);
    deployment.start_entries(3);
    seconds(5.0);
    let owner = deployment.owner();
    let (zone, holders) = deployment.zone_of(owner);
    let elsewhere = (owner + 1) % 3;
    record.say(&format!("{} in {zone} owns the schedule", deployment.entries[owner].name));
    // Takes half of the cap, with tasks of which copies may run, near data in the owner's zone.
    let copied = TaskKind { speculative: true, ..kind("alpha", 4_000, 12_000) };
    let first = Step { near: zone, ..step(8, copied) };
    if !deployment.submit(elsewhere, &job_id(1), "alpha", &[first]) {
        return None;
    }
    seconds(1.0);
    let starts = deployment.fleet.observe(|observed| observed.starts.clone());
    if !starts.values().flatten().all(|start| holders.contains(&start.worker)) {
        return None;
    }
    if trouble {
        record.say(&format!("{zone} is cut off"));
        deployment.entries[owner].endpoint.set_mode(StoreMode::Silent);
        holders.iter().for_each(|holder| deployment.fleet.cut_off(holder));
    }
    seconds(2.0);
    // Asks for the whole cap once more; half of it has to wait.
    for number in 2..4 {
        let steps = [step(8, kind("alpha", 4_000, 4_000))];
        if !deployment.submit(elsewhere, &job_id(number), "alpha", &steps) {
            return None;
        }
    }
    seconds(3.0);
    if trouble {
        deployment.entries[owner].endpoint.set_mode(StoreMode::Up);
        holders.iter().for_each(|holder| deployment.fleet.reconnect(holder));
        record.say(&format!("{zone} is back"));
    }
    seconds(12.0);
    let peak = deployment.fleet.observe(|observed| observed.peak_cpu.get("alpha").copied());
    let (peak, at_ms) = peak?;
    let bound = cap_cpu + cap_cpu / 10 + 4_000;
    record.say(&format!("alpha had {peak} running at {at_ms} ms; cap {cap_cpu}, bound {bound}"));
    Some(peak > bound)
}

/// A burst of large jobs: one whose tasks take minutes.
fn long_tasks(mut deployment: Deployment, trouble: bool) -> Option<bool> {
    let record = Arc::clone(&deployment.record);
    deployment.configure(&[
        Tenant { name: "alpha", cap_cpu: 0 },
        Tenant { name: "beta", cap_cpu: 0 },
    ]);
    deployment.start_entries(3);
    seconds(4.0);
    let (large, small) = (job_id(1), job_id(2));
    let takes_ms = if trouble { 400_000 } else { 100_000 };
    let tasks = Step { anti_affinity: 1, ..step(6, kind("alpha", 12_000, takes_ms)) };
    if !deployment.submit(0, &large, "alpha", &[tasks]) {
        return None;
    }
    seconds(3.0);
    if !deployment.submit(0, &small, "beta", &[step(4, kind("beta", 4_000, 800))]) {
        return None;
    }
    record.say("the traffic ends");
    seconds(14.0);
    let (mut idle_s, mut longest_s) = (0.0_f64, 0.0_f64);
    for _ in 0..120 {
        seconds(0.2);
        let state = deployment.state(1, &large, "alpha");
        let waits = deployment.fleet.running(&large) == 0 && state != "completed";
        idle_s = if waits { idle_s + 0.2 } else { 0.0 };
        longest_s = longest_s.max(idle_s);
    }
    let count = |job: &str| {
        deployment.fleet.observe(|observed| {
            let starts = observed.starts.iter().filter(|(task, _)| task.starts_with(job));
            starts.map(|(_, starts)| starts.len()).sum::<usize>()
        })
    };
    let began_ms = deployment.fleet.observe(|observed| {
        let starts = observed.starts.iter().filter(|(task, _)| task.starts_with(&small));
        starts.flat_map(|(_, starts)| starts).map(|start| start.at_ms).min()
    });
    record.say(&format!("beta's small job began at {began_ms:?} ms"));
    record.say(&format!("alpha's 6 tasks had {} starts", count(&large)));
    record.say(&format!("none of them ran for {longest_s:.1} s on end"));
    Some(longest_s >= 3.0)
}

/// A worker is lost under a gang that had waited long for room, and the owner of the schedule is
/// restarted before the gang can start again.
fn gang_restart(mut deployment: Deployment, trouble: bool) -> Option<bool> {
    let record = Arc::clone(&deployment.record);
    deployment.configure(&[Tenant { name: "alpha", cap_cpu: 0 }]);
    deployment.start_entries(3);
    seconds(4.0);
    // Lasts on one worker, which is the fullest from then on and so is filled first.
    let lasting = TaskKind { takes: None, ..kind("alpha", 1_000, 0) };
    let anchor = Step { near: "north", ..step(1, lasting) };
    // Takes the room of another worker, so that the gang has to wait.
    let blocker = Step { near: "south", ..step(1, kind("alpha", 50_000, 34_000)) };
    if !deployment.submit(0, &job_id(0), "alpha", &[anchor])
        || !deployment.submit(0, &job_id(1), "alpha", &[blocker])
    {
        return None;
    }
    seconds(0.5);
    let gang = job_id(2);
    let member = TaskKind { gang: Some(9), ..kind("alpha", 6_000, 30_000) };
    let steps = [Step { anti_affinity: 3, ..step(9, member) }];
    if !deployment.submit(1, &gang, "alpha", &steps) {
        return None;
    }
    // Small jobs come and go meanwhile.
    let mut number = 10;
    let until_ms = record.now_ms() + 36_000;
    while record.now_ms() < until_ms {
        number += 1;
        let steps = [step(8, kind("alpha", 500, 150 + number % 7 * 20))];
        if !deployment.submit(number as usize % 3, &job_id(number), "alpha", &steps) {
            return None;
        }
        seconds(0.02);
    }
    record.say("the traffic ends");
    let say_starts = |deployment: &Deployment, after_ms: u64| {
        let mut starts = deployment.fleet.observe(|observed| {
            let starts = observed.starts.iter().filter(|(task, _)| task.starts_with(&gang));
            starts.flat_map(|(_, starts)| starts.clone()).collect::<Vec<_>>()
        });
        starts.sort_by_key(|start| start.run);
        for starts in starts.chunk_by(|one, next| one.run == next.run) {
            let (run, members, at_ms) = (starts[0].run, starts.len(), starts[0].at_ms);
            if at_ms > after_ms {
                record.say(&format!("gang run {run}: {members} of 9 start at {at_ms} ms"));
            }
        }
    };
    say_starts(&deployment, 0);
    if deployment.fleet.running(&gang) < 9 {
        return None;
    }
    deployment.crash_worker(2);
    record.say("a worker is lost");
    seconds(7.0);
    if trouble {
        let owner = deployment.owner();
        deployment.restart_entry(owner);
        record.say(&format!("{} was restarted", deployment.entries[owner].name));
    }
    seconds(3.0);
    deployment.add_worker(2);
    record.say("a new worker takes the place of the lost one");
    let back_ms = record.now_ms();
    seconds(8.0);
    let (mut idle_s, mut longest_s) = (0.0_f64, 0.0_f64);
    for _ in 0..180 {
        seconds(0.2);
        idle_s = if deployment.fleet.running(&gang) == 0 { idle_s + 0.2 } else { 0.0 };
        longest_s = longest_s.max(idle_s);
        if deployment.state(0, &gang, "alpha") == "completed" {
            idle_s = 0.0;
            break;
        }
    }
    longest_s = longest_s.max(idle_s);
    say_starts(&deployment, back_ms);
    let alone = deployment.fleet.observe(|observed| {
        observed.alone.iter().filter(|(at_ms, _, _)| *at_ms > back_ms).count()
    });
    let state = deployment.state(0, &gang, "alpha");
    record.say(&format!("{alone} runs ended alone; the gang's job is {state}"));
    record.say(&format!("nothing of it ran for up to {longest_s:.1} s on end"));
    Some(alone > 0)
}

/// Workers leave half of the orders unanswered and carry them out late, while many jobs come.
fn pending_count(mut deployment: Deployment, trouble: bool) -> Option<bool> {
    let record = Arc::clone(&deployment.record);
    deployment.configure(&[Tenant { name: "alpha", cap_cpu: 0 }]);
    deployment.start_entries(3);
    seconds(6.0);
    if trouble {
        record.say("workers leave half of the orders unanswered");
        deployment.fleet.delay_orders(Some(Duration::from_secs(6)));
    }
    let jobs: Vec<String> = (1..61).map(job_id).collect();
    for (number, job) in jobs.iter().enumerate() {
        if !deployment.submit(number % 3, job, "alpha", &[step(1, kind("alpha", 2_000, 800))]) {
            return None;
        }
    }
    let accepted_ms = record.now_ms();
    record.say("the jobs are accepted");
    // `visible_ms` and 2 s after the last was accepted.
    while record.now_ms() < accepted_ms + 5_050 {
        seconds(0.01);
    }
    let mut broken = false;
    for entry in 0..3 {
        let before = deployment.waiting(&jobs);
        let pending = deployment.pending(entry, "alpha");
        let after = deployment.waiting(&jobs);
        record.say(&format!("entry {entry} says {pending:?}; {before} to {after} have not begun"));
        broken |= pending.is_some_and(|pending| pending * 2 < after as u64);
    }
    deployment.fleet.delay_orders(None);
    Some(broken)
}
