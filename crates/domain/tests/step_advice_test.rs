//! Tests of steps that run only on workers allowed by an adviser.

mod recorded_orders;
mod samples;

use {
    dotterelshore_domain::{
        names::{QueueName, TeamName, WorkerName},
        schedule::{
            AdviceRequest, FleetSchedule, JobRecord, ListedWorker, OrderRule, QueueTable,
            Resources, StartOrder, StartRefusal, StartReply, StepPlan, TeamRow, WorkerOrder,
            WorkerReport,
        },
    },
    dotterelshore_testkit::named_cases,
    recorded_orders::recorded_orders,
    samples::{NOW_MS, WALL_MS, sample_job, sample_worker},
    std::sync::Arc,
};

/// Worker lease, in milliseconds.
const LEASE_MS: u64 = 4_000;
/// Time after which an unconfirmed start is ruled out, in milliseconds.
const UNCONFIRMED_MS: u64 = 300;
/// Validity of tickets, in milliseconds.
const TICKET_MS: u64 = 2_000;

fn worker(number: usize, started_ms: u64) -> ListedWorker {
    ListedWorker {
        started_ms,
        ..sample_worker(&format!("w-{number}"), 4_000)
    }
}

fn record(text: &str, count: u32, advised: bool) -> JobRecord {
    let step = StepPlan {
        count,
        need: Resources {
            cpu_milli: 2_000,
            memory_mb: 1_000,
            gpus: 0,
        },
        estimate_ms: 800,
        ..StepPlan::default()
    };
    JobRecord {
        queue: QueueName::try_from("advised").expect("a name"),
        advised,
        ..sample_job(text, step)
    }
}

/// A schedule with workers, an adviser that allows only some of them, and a clock.
struct AdviceFixture {
    schedule: FleetSchedule,
    now_ms: u64,
    allowed: Vec<usize>,
    requests: usize,
}

impl AdviceFixture {
    fn new(workers: usize, allowed: &[usize]) -> Self {
        let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, 0);
        for number in 0..workers {
            let listed = worker(number, 1);
            let name = listed.name.clone();
            schedule.upsert_worker(listed);
            schedule.apply_report(&name, &WorkerReport::default(), NOW_MS, WALL_MS);
        }
        Self {
            schedule,
            now_ms: NOW_MS,
            allowed: allowed.to_vec(),
            requests: 0,
        }
    }

    fn add(&mut self, text: &str, count: u32, advised: bool) {
        let record = record(text, count, advised);
        self.schedule.add_job(record, None, 0, self.now_ms, WALL_MS);
    }

    fn answer(&mut self, request: &AdviceRequest) {
        self.requests += 1;
        let is_allowed = |name: &WorkerName| {
            self.allowed
                .iter()
                .any(|allowed| worker(*allowed, 1).name == *name)
        };
        let named = request.workers.iter().map(|(name, _)| name);
        let tickets: Vec<_> = named
            .filter(|name| is_allowed(name))
            .map(|name| (name.clone(), Arc::from(format!("t-{name}"))))
            .collect();
        self.schedule
            .apply_advice(request, &tickets, self.now_ms + TICKET_MS);
    }

    /// Requests advice until none is needed, up to a bound.
    fn request_all(&mut self) {
        for _ in 0..20 {
            let Some(request) = self.schedule.next_advice_request(self.now_ms) else {
                return;
            };
            self.answer(&request);
        }
        panic!("advice requests never end");
    }

    fn starts(&mut self) -> Vec<StartOrder> {
        let orders = recorded_orders(&mut self.schedule, self.now_ms, WALL_MS);
        let starts = orders.into_iter().filter_map(|order| match order {
            WorkerOrder::Start(start) => Some(start),
            _ => None,
        });
        starts.collect()
    }
}

/// Tasks start only on workers that the adviser allows, each with its ticket.
fn advised_starts(workers: usize, allowed: &[usize], tasks: u32, started: usize) {
    let mut fixture = AdviceFixture::new(workers, allowed);
    fixture.add("a", tasks, true);
    assert_eq!(fixture.starts(), Vec::new(), "nothing without advice");
    let mut starts = Vec::new();
    while starts.len() < started {
        fixture.request_all();
        let more = fixture.starts();
        assert!(!more.is_empty(), "{} started", starts.len());
        starts.extend(more);
    }
    fixture.request_all();
    assert_eq!(fixture.starts(), Vec::new(), "no more than these");
    for start in &starts {
        let ticket = format!("t-{}", start.worker);
        assert_eq!(start.ticket.as_deref(), Some(ticket.as_str()));
    }
    assert_eq!(
        fixture.schedule.next_advice_request(fixture.now_ms),
        None,
        "no more requests"
    );
}

named_cases! { advised_starts:
    step_without_allowed_workers_never_starts(3, &[], 2, 0);
    step_starts_on_the_allowed_worker(3, &[1], 2, 2);
    step_fills_the_allowed_worker_only(3, &[1], 4, 2);
    step_starts_on_workers_beyond_the_first_request(40, &[35, 39], 4, 4);
}

/// Jobs that wait for advice keep no room from other jobs behind them.
fn plain_job_goes_on(waiting: usize) {
    let mut fixture = AdviceFixture::new(2, &[]);
    for number in 0..waiting {
        fixture.add(&format!("a-{number}"), 2, true);
    }
    fixture.add("plain", 2, false);
    let starts = fixture.starts();
    assert_eq!(starts.len(), 2, "the plain job");
    assert!(starts.iter().all(|start| start.ticket.is_none()));
}

named_cases! { plain_job_goes_on:
    plain_job_starts_behind_one_waiting_job(1);
    plain_job_starts_behind_many_waiting_jobs(30);
}

/// A ticket that expires, that a worker refuses, or whose worker restarted is requested again.
/// A valid one serves all tasks of its step.
fn ticket_reuse(change: fn(&mut AdviceFixture, &StartOrder), requested_again: bool) {
    let mut fixture = AdviceFixture::new(1, &[0]);
    fixture.add("a", 3, true);
    fixture.request_all();
    let mut starts = fixture.starts();
    assert_eq!(starts.len(), 2, "two tasks fit on the worker");
    let first = starts.remove(0);
    change(&mut fixture, &first);
    let requests = fixture.requests;
    fixture.request_all();
    assert_eq!(fixture.requests > requests, requested_again);
    assert!(!fixture.starts().is_empty(), "the third task");
}

fn refused(fixture: &mut AdviceFixture, start: &StartOrder, refusal: StartRefusal) {
    let reply = StartReply::Refused(refusal);
    let now_ms = fixture.now_ms;
    fixture
        .schedule
        .apply_start_reply(&start.worker, &start.task, start.run, reply, now_ms);
}

/// Restarts the worker, and rules out the starts that may have reached its next incarnation.
fn restarted(fixture: &mut AdviceFixture) {
    let listed = worker(0, 2);
    let name = listed.name.clone();
    fixture.schedule.upsert_worker(listed);
    let now_ms = fixture.now_ms;
    let mut report = WorkerReport::default();
    fixture
        .schedule
        .apply_report(&name, &report, now_ms, WALL_MS);
    for order in fixture.schedule.tick(now_ms + UNCONFIRMED_MS, true) {
        if let WorkerOrder::Stop(stop) = order {
            fixture.schedule.confirm_stop(&stop, report.clock_ms);
        }
    }
    report.clock_ms += 1;
    fixture
        .schedule
        .apply_report(&name, &report, now_ms, WALL_MS);
}

named_cases! { ticket_reuse:
    refused_start_keeps_the_ticket(|fixture, start| refused(fixture, start, StartRefusal::Late), false);
    refused_ticket_is_discarded(|fixture, start| refused(fixture, start, StartRefusal::Ticket), true);
    expired_ticket_is_requested_again(|fixture, start| {
        refused(fixture, start, StartRefusal::Late);
        fixture.now_ms += TICKET_MS;
    }, true);
    ticket_of_a_restarted_worker_is_requested_again(|fixture, _| restarted(fixture), true);
}

fn label_some_workers(schedule: &mut FleetSchedule, numbers: std::ops::Range<usize>) {
    for number in numbers {
        let labelled = ListedWorker {
            labels: vec![Arc::from("kind-b")],
            ..worker(number, 1)
        };
        schedule.upsert_worker(labelled);
    }
}

/// Tickets for too few workers, or for workers that a step can't use, kept it from ever asking
/// for others. The step has four tasks, of which two fit on a worker.
fn step_asks_until_it_can_start(change: fn(&mut StepPlan), allowed: &[usize], started: usize) {
    let mut fixture = AdviceFixture::new(40, allowed);
    label_some_workers(&mut fixture.schedule, 36..40);
    let mut record = record("a", 4, true);
    change(&mut record.plan.steps[0]);
    fixture.schedule.add_job(record, None, 0, NOW_MS, WALL_MS);
    fixture.request_all();
    assert_eq!(fixture.starts().len(), started);
}

named_cases! { step_asks_until_it_can_start:
    gang_asks_until_all_members_find_room(|step| step.gang = true, &[0, 39], 4);
    gang_without_enough_allowed_workers_waits(|step| step.gang = true, &[39], 0);
    step_asks_for_workers_with_its_label(
        |step| step.requires = Some(Arc::from("kind-b")), &[0, 39], 2);
}

/// Jobs over their team's ceiling asked for advice again and again, so that a job behind them
/// never got any.
#[test]
fn job_over_its_ceiling_asks_for_no_advice() {
    let mut fixture = AdviceFixture::new(2, &[0, 1]);
    let team = TeamName::try_from("capped").expect("a name");
    let row = TeamRow {
        name: team.clone(),
        keys: Vec::new(),
        weight: 1_000.0,
        ceiling: Resources {
            cpu_milli: 1_000,
            ..Resources::default()
        },
    };
    let mut table = QueueTable::default();
    table.teams.insert(team.clone(), Arc::new(row));
    fixture.schedule.set_table(&table);
    for number in 0..3 {
        let capped = JobRecord {
            team: Some(team.clone()),
            ..record(&format!("a-{number}"), 2, true)
        };
        fixture.schedule.add_job(capped, None, 0, NOW_MS, WALL_MS);
    }
    fixture.add("b", 2, true);
    let request = fixture.schedule.next_advice_request(NOW_MS);
    assert_eq!(request.expect("a request").job.as_str(), "b");
    fixture.request_all();
    assert_eq!(fixture.requests, 1);
    assert_eq!(fixture.starts().len(), 2);
}
