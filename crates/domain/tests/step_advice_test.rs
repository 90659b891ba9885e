//! Steps that only an adviser can place.

mod samples;

use {
    dotterelshore_domain::{
        names::{QueueName, WorkerName},
        schedule::{
            AdviceRequest, FleetSchedule, JobRecord, ListedWorker, OrderRule, Resources,
            StartOrder, StartRefusal, StartReply, StepPlan, WorkerOrder, WorkerReport,
        },
    },
    dotterelshore_testkit::named_cases,
    samples::{NOW_MS, WALL_MS, sample_job, sample_worker},
    std::sync::Arc,
};

/// How long workers are granted, in milliseconds.
const LEASE_MS: u64 = 4_000;
/// How long tickets are valid, in milliseconds.
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

/// A schedule of workers, an adviser that lets only some of them run steps, and a clock.
struct AdviceStage {
    schedule: FleetSchedule,
    now_ms: u64,
    good: Vec<usize>,
    asked: usize,
}

impl AdviceStage {
    fn new(workers: usize, good: &[usize]) -> Self {
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
            good: good.to_vec(),
            asked: 0,
        }
    }

    fn add(&mut self, text: &str, count: u32, advised: bool) {
        let record = record(text, count, advised);
        self.schedule.add_job(record, None, 0, self.now_ms, WALL_MS);
    }

    fn answer(&mut self, question: &AdviceRequest) {
        self.asked += 1;
        let may = |name: &WorkerName| self.good.iter().any(|good| worker(*good, 1).name == *name);
        let named = question.workers.iter().map(|(name, _)| name);
        let tickets: Vec<_> = named
            .filter(|name| may(name))
            .map(|name| (name.clone(), Arc::from(format!("t-{name}"))))
            .collect();
        self.schedule
            .apply_advice(question, &tickets, self.now_ms + TICKET_MS);
    }

    /// Asks as long as there is something to ask, up to a bound.
    fn ask(&mut self) {
        for _ in 0..20 {
            let Some(question) = self.schedule.next_advice_request(self.now_ms) else {
                return;
            };
            self.answer(&question);
        }
        panic!("it asks for ever");
    }

    fn starts(&mut self) -> Vec<StartOrder> {
        let orders = self.schedule.plan_starts(self.now_ms, WALL_MS, u64::MAX);
        let starts = orders.into_iter().filter_map(|order| match order {
            WorkerOrder::Start(start) => Some(start),
            _ => None,
        });
        starts.collect()
    }
}

/// Tasks start only on workers that the adviser names, each with its ticket.
fn advised_starts(workers: usize, good: &[usize], tasks: u32, started: usize) {
    let mut stage = AdviceStage::new(workers, good);
    stage.add("a", tasks, true);
    assert_eq!(stage.starts(), Vec::new(), "nothing without advice");
    let mut starts = Vec::new();
    while starts.len() < started {
        stage.ask();
        let more = stage.starts();
        assert!(!more.is_empty(), "{} started", starts.len());
        starts.extend(more);
    }
    stage.ask();
    assert_eq!(stage.starts(), Vec::new(), "no more than these");
    for start in &starts {
        let ticket = format!("t-{}", start.worker);
        assert_eq!(start.ticket.as_deref(), Some(ticket.as_str()));
    }
    assert_eq!(
        stage.schedule.next_advice_request(stage.now_ms),
        None,
        "all asked"
    );
}

named_cases! { advised_starts:
    nobody_may(3, &[], 2, 0);
    one_may(3, &[1], 2, 2);
    one_may_and_is_full(3, &[1], 4, 2);
    the_first_thirty_may_not(40, &[35, 39], 4, 4);
}

/// Jobs that wait for advice keep no room from others behind them.
fn others_go_on(waiting: usize) {
    let mut stage = AdviceStage::new(2, &[]);
    for number in 0..waiting {
        stage.add(&format!("a-{number}"), 2, true);
    }
    stage.add("plain", 2, false);
    let starts = stage.starts();
    assert_eq!(starts.len(), 2, "the plain job");
    assert!(starts.iter().all(|start| start.ticket.is_none()));
}

named_cases! { others_go_on:
    behind_one(1);
    behind_many(30);
}

/// A ticket that runs out, that a worker refuses, or whose worker was born again is asked for
/// anew; one that is valid serves all tasks of its step.
fn ticket_life(change: fn(&mut AdviceStage, &StartOrder), asked_again: bool) {
    let mut stage = AdviceStage::new(1, &[0]);
    stage.add("a", 3, true);
    stage.ask();
    let mut starts = stage.starts();
    assert_eq!(starts.len(), 2, "its room");
    let first = starts.remove(0);
    change(&mut stage, &first);
    let asked = stage.asked;
    stage.ask();
    assert_eq!(stage.asked > asked, asked_again);
    assert!(!stage.starts().is_empty(), "the third task");
}

fn refused(stage: &mut AdviceStage, start: &StartOrder, refusal: StartRefusal) {
    let reply = StartReply::Refused(refusal);
    let now_ms = stage.now_ms;
    stage
        .schedule
        .apply_start_reply(&start.worker, &start.task, start.run, reply, now_ms);
}

named_cases! { ticket_life:
    a_refused_start_keeps_it(|stage, start| refused(stage, start, StartRefusal::Late), false);
    a_refused_ticket_is_dropped(|stage, start| refused(stage, start, StartRefusal::Ticket), true);
    it_runs_out(|stage, start| {
        refused(stage, start, StartRefusal::Late);
        stage.now_ms += TICKET_MS;
    }, true);
    its_worker_is_born_again(|stage, _| {
        let listed = worker(0, 2);
        stage.schedule.upsert_worker(listed);
        let name = worker(0, 2).name;
        let now_ms = stage.now_ms;
        stage.schedule.apply_report(&name, &WorkerReport::default(), now_ms, WALL_MS);
    }, true);
}
