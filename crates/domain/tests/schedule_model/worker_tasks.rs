//! The owner's tasks of each worker: one polls its lists, one sends starts and one sends stops.

use {
    super::{
        fleet_model::FleetModel,
        owner_process::WorkerTasks,
        worker_calls::{PendingCall, WorkerAnswer, WorkerRequest},
    },
    dotterelshore_domain::{
        names::WorkerName,
        schedule::{StartOrder, StartRefusal, StartReply, WorkerClock, WorkerOrder, WorkerReport},
    },
    std::collections::VecDeque,
};

/// Lease of a worker's runs, in milliseconds.
pub(super) const WORKER_LEASE_MS: u64 = 3_600;
/// How long a poll waits for a run to end, in milliseconds.
const POLL_WAIT_MS: u64 = 1_500;
/// How long a poll waits while a long-running task starts, in milliseconds.
const STARTING_POLL_WAIT_MS: u64 = 250;
/// Stop orders to one worker that may wait for a reply at the same time.
const STOPS_IN_FLIGHT: usize = 4;
/// Pause after a poll, in milliseconds.
const POLL_PAUSE_MS: u64 = 35;
/// Time to read a row, in milliseconds.
const ROW_READ_MS: u64 = 8;
/// Pause after a failed poll, and while authority is missing, in milliseconds.
const POLL_RETRY_PAUSE_MS: u64 = 200;

impl FleetModel {
    /// Starts the tasks of a worker, unless they already run.
    pub(super) fn start_worker_tasks(
        &mut self,
        owner: usize,
        worker: &WorkerName,
        started_ms: u64,
    ) {
        if self.owners[owner].tasks.contains_key(worker) {
            return;
        }
        let number = self.take_number();
        let tasks = WorkerTasks {
            number,
            starts: VecDeque::new(),
            is_starting: false,
            stops: VecDeque::new(),
            stops_in_flight: 0,
            reading: None,
            clock: WorkerClock::default(),
            is_unreachable: false,
            started_ms,
        };
        self.owners[owner].tasks.insert(worker.clone(), tasks);
        self.poll_after(owner, worker, number, 0);
    }

    fn poll_after(&mut self, owner: usize, worker: &WorkerName, number: u64, delay_ms: u64) {
        let worker = worker.clone();
        self.after_in_owner(owner, delay_ms, move |model| {
            model.poll(owner, &worker, number);
        });
    }

    fn poll(&mut self, owner: usize, worker: &WorkerName, number: u64) {
        let now_ms = self.now_ms;
        let process = &mut self.owners[owner];
        let tasks = process.tasks.get_mut(worker);
        let Some(tasks) = tasks.filter(|tasks| tasks.number == number) else {
            return;
        };
        if process.is_ended {
            return;
        }
        if now_ms >= process.authority_until_ms {
            self.poll_after(owner, worker, number, POLL_RETRY_PAUSE_MS);
            return;
        }
        let Some(status) = process.schedule.worker(worker) else {
            process.tasks.remove(worker);
            return;
        };
        let started_ms = status.listed.started_ms;
        if tasks.started_ms != started_ms {
            tasks.started_ms = started_ms;
            tasks.reading = None;
            tasks.clock.forget();
        }
        let is_unreachable = tasks.is_unreachable;
        let acknowledges = !self.profile.has_clock_reads || tasks.clock.is_fresh(now_ms);
        let lease_until_ms = self.lease_until(owner, worker);
        let schedule = &mut self.owners[owner].schedule;
        let lease_until_ms =
            lease_until_ms.filter(|_| !is_unreachable && schedule.renew_lease(worker, now_ms));
        let wait_ms = if schedule.has_unready_task(worker) {
            STARTING_POLL_WAIT_MS
        } else {
            POLL_WAIT_MS
        };
        let request = WorkerRequest::Poll {
            lease_until_ms,
            acknowledged_end: if acknowledges {
                schedule.acknowledged_end(worker)
            } else {
                0
            },
            wait_ms: lease_until_ms.map(|_| wait_ms),
            scope: schedule.poll_scope(worker, schedule.run_watch(worker), now_ms),
            started_ms,
        };
        let worker = worker.clone();
        self.act_after_pause(owner, move |model| {
            model.send_call(owner, &worker, number, request);
        });
    }

    /// Returns the end of a lease that begins now, on the worker's clock.
    fn lease_until(&self, owner: usize, worker: &WorkerName) -> Option<u64> {
        let tasks = self.owners[owner].tasks.get(worker)?;
        if self.profile.has_clock_reads {
            return Some(tasks.clock.now_ms(self.now_ms)? + WORKER_LEASE_MS);
        }
        let (clock_ms, at_ms) = tasks.reading?;
        Some(clock_ms + (self.now_ms - at_ms) + WORKER_LEASE_MS)
    }

    /// Closes a call with an answer, unless that has been done.
    pub(super) fn close_call(&mut self, id: u64, answer: WorkerAnswer) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.act_after_pause(call.owner, move |model| model.finish_call(&call, answer));
    }

    fn finish_call(&mut self, call: &PendingCall, answer: WorkerAnswer) {
        let (owner, worker, number) = (call.owner, call.worker.clone(), call.tasks);
        if matches!(call.request, WorkerRequest::Poll { .. }) {
            let pause_ms = self.apply_poll_answer(call, answer);
            self.poll_after(owner, &worker, number, pause_ms);
            return;
        }
        if let WorkerRequest::ReadClock {
            order,
            scope,
            started_ms,
        } = &call.request
        {
            let answer = match answer {
                WorkerAnswer::Lists(report) => {
                    WorkerAnswer::Lists(scope.reduce(*started_ms, report))
                }
                answer => answer,
            };
            self.finish_clock_read(call, order, answer);
            return;
        }
        self.apply_order_answer(call, &answer);
        let tasks = self.owners[owner].tasks.get_mut(&worker);
        let Some(tasks) = tasks.filter(|tasks| tasks.number == number) else {
            return;
        };
        if matches!(call.request, WorkerRequest::Stop(_)) {
            tasks.stops_in_flight -= 1;
            self.send_stops(owner, &worker);
        } else {
            tasks.is_starting = false;
            self.send_starts(owner, &worker);
        }
    }

    /// Sends the start that waits for a reading of its worker's clock, if that answered.
    fn finish_clock_read(&mut self, call: &PendingCall, order: &StartOrder, answer: WorkerAnswer) {
        let (owner, worker) = (call.owner, &call.worker);
        let mut is_read = false;
        match answer {
            WorkerAnswer::Lists(report) => {
                self.apply_lists(call, &report, false);
                is_read = true;
            }
            WorkerAnswer::Fenced => self.mark_fenced(owner, call.token),
            _ => self.owners[owner].schedule.mark_unreachable(worker),
        }
        let tasks = self.owners[owner].tasks.get_mut(worker);
        let tasks = tasks.filter(|tasks| tasks.number == call.tasks);
        let may_start = is_read
            && tasks
                .as_ref()
                .is_some_and(|tasks| tasks.clock.is_fresh(self.now_ms));
        if let Some(tasks) = tasks {
            tasks.is_starting = false;
            if may_start {
                tasks.starts.push_front(order.clone());
            }
        }
        if !may_start {
            let reply = StartReply::Refused(StartRefusal::Late);
            self.apply_start_reply(owner, order, reply);
        }
        self.send_starts(owner, worker);
    }

    /// Applies the answer to a poll and returns the pause until the next one.
    fn apply_poll_answer(&mut self, call: &PendingCall, answer: WorkerAnswer) -> u64 {
        let (owner, worker, now_ms) = (call.owner, &call.worker, self.now_ms);
        match answer {
            WorkerAnswer::Lists(report) => {
                let WorkerRequest::Poll {
                    wait_ms,
                    scope,
                    started_ms,
                    ..
                } = call.request
                else {
                    return POLL_PAUSE_MS;
                };
                let report = scope.reduce(started_ms, report);
                self.apply_lists(call, &report, wait_ms.is_none());
                return POLL_PAUSE_MS;
            }
            WorkerAnswer::Fenced => self.mark_fenced(owner, call.token),
            _ => {
                let process = &mut self.owners[owner];
                let tasks = process.tasks.get(worker);
                if self.profile.has_clock_reads
                    && tasks.is_some_and(|tasks| tasks.clock.is_overtaken(call.poll))
                {
                    return POLL_RETRY_PAUSE_MS;
                }
                process.schedule.mark_unreachable(worker);
                let tasks = process.tasks.get_mut(worker);
                if let Some(tasks) = tasks.filter(|tasks| tasks.number == call.tasks)
                    && !std::mem::replace(&mut tasks.is_unreachable, true)
                {
                    let text = format!("owner {owner} finds {worker} silent at {now_ms}");
                    self.oracle.note(None, text);
                }
            }
        }
        POLL_RETRY_PAUSE_MS
    }

    fn apply_lists(&mut self, call: &PendingCall, report: &WorkerReport, first: bool) {
        let (now_ms, wall_ms) = (self.now_ms, self.wall_ms());
        let (owner, worker) = (call.owner, &call.worker);
        let process = &mut self.owners[owner];
        let tasks = process.tasks.get_mut(worker);
        if let Some(tasks) = tasks.filter(|tasks| tasks.number == call.tasks) {
            tasks.is_unreachable &= matches!(call.request, WorkerRequest::ReadClock { .. });
            let (started_ms, clock_ms) = (report.started_ms, report.clock_ms);
            let counts = tasks
                .clock
                .record_report(call.poll, started_ms, clock_ms, now_ms);
            if self.profile.has_clock_reads && !counts {
                return;
            }
            tasks.reading = Some((report.clock_ms, now_ms));
        }
        let orders = process
            .schedule
            .apply_report(worker, report, now_ms, wall_ms);
        let lacks_row = process.schedule.lacks_current_row(worker);
        self.dispatch(owner, orders);
        if lacks_row && self.profile.has_stale_rows {
            self.refresh_row(owner, worker);
        }
        if !report.finished.is_empty() {
            self.notify_recorder(owner);
            self.notify_planner(owner);
        } else if first {
            self.notify_planner(owner);
        }
    }

    /// Reads the row of a worker that reports as another incarnation.
    fn refresh_row(&mut self, owner: usize, worker: &WorkerName) {
        let row = self.store.workers.get(worker).cloned();
        let Some(row) = row.filter(|_| !self.is_store_out()) else {
            return;
        };
        self.after_in_owner(owner, ROW_READ_MS, move |model| {
            let schedule = &mut model.owners[owner].schedule;
            let known = schedule.worker(&row.listed.name);
            if known.is_some_and(|known| known.listed.started_ms == row.listed.started_ms) {
                schedule.apply_row(row);
                model.notify_planner(owner);
                if model.profile.has_product_records {
                    model.notify_shards(owner);
                }
            }
        });
    }

    fn apply_order_answer(&mut self, call: &PendingCall, answer: &WorkerAnswer) {
        let owner = call.owner;
        match &call.request {
            WorkerRequest::Start { order, .. } => {
                let reply = match answer {
                    WorkerAnswer::Start(reply) => *reply,
                    _ => StartReply::Unknown,
                };
                self.apply_start_reply(owner, order, reply);
            }
            WorkerRequest::Stop(order) => {
                if let WorkerAnswer::Stopped(clock_ms) = answer {
                    self.owners[owner].schedule.confirm_stop(order, *clock_ms);
                }
            }
            WorkerRequest::Poll { .. } | WorkerRequest::ReadClock { .. } => {}
        }
    }

    fn apply_start_reply(&mut self, owner: usize, order: &StartOrder, reply: StartReply) {
        let now_ms = self.now_ms;
        if reply == StartReply::Refused(StartRefusal::Fenced) {
            let token = self.owners[owner].token;
            self.mark_fenced(owner, token);
        }
        let text = format!(
            "owner {owner}: start of {} run {} at {}: {reply:?}",
            order.task, order.run, order.worker
        );
        self.oracle.note(Some(&order.task.job), text);
        self.check_clock(owner, order, reply);
        self.owners[owner].schedule.apply_start_reply(
            &order.worker,
            &order.task,
            order.run,
            reply,
            now_ms,
        );
        if matches!(reply, StartReply::Refused(_)) {
            self.notify_planner(owner);
        }
    }

    /// Counts the longest lease for a worker whose reply shows another clock than the one read last.
    fn check_clock(&mut self, owner: usize, order: &StartOrder, reply: StartReply) {
        let StartReply::Started { clock_ms } = reply else {
            return;
        };
        let process = &mut self.owners[owner];
        let tasks = process.tasks.get_mut(&order.worker);
        if let Some(tasks) = tasks.filter(|_| self.profile.has_clock_reads)
            && !tasks.clock.agrees(clock_ms, self.now_ms)
        {
            tasks.clock.forget();
            process.schedule.suspect_restart(&order.worker, self.now_ms);
        }
    }

    /// Puts orders into the queues of their workers.
    pub(super) fn dispatch(&mut self, owner: usize, orders: Vec<WorkerOrder>) {
        for order in orders {
            let worker = order.worker().clone();
            self.note_order(owner, &order);
            let Some(tasks) = self.owners[owner].tasks.get_mut(&worker) else {
                continue;
            };
            match order {
                WorkerOrder::Start(order) => {
                    tasks.starts.push_back(order);
                    self.send_starts(owner, &worker);
                }
                WorkerOrder::Stop(order) => {
                    tasks.stops.push_back(order);
                    self.send_stops(owner, &worker);
                }
                WorkerOrder::Pace(..) => {}
            }
        }
    }

    fn note_order(&mut self, owner: usize, order: &WorkerOrder) {
        let (kind, task, run) = match order {
            WorkerOrder::Start(order) => ("start", &order.task, order.run),
            WorkerOrder::Stop(order) => ("stop", &order.task, order.run),
            WorkerOrder::Pace(..) => return,
        };
        let tasks = self.owners[owner].tasks.get(order.worker());
        let queued = tasks.map(|tasks| (tasks.starts.len(), tasks.stops.len()));
        let text = format!(
            "owner {owner} orders {kind} of {task} run {run} at {}, queues {queued:?}",
            order.worker()
        );
        self.oracle.note(Some(&task.job), text);
    }

    /// Sends the next start of a worker's queue, unless one is under way.
    fn send_starts(&mut self, owner: usize, worker: &WorkerName) {
        loop {
            let process = &mut self.owners[owner];
            let Some(tasks) = process.tasks.get_mut(worker) else {
                return;
            };
            if tasks.is_starting {
                return;
            }
            let number = tasks.number;
            let Some(order) = tasks.starts.pop_front() else {
                return;
            };
            if process.schedule.worker(worker).is_none() {
                continue;
            }
            if let Some(request) = self.prepare_start(owner, order) {
                if let Some(tasks) = self.owners[owner].tasks.get_mut(worker) {
                    tasks.is_starting = true;
                }
                let worker = worker.clone();
                self.act_after_pause(owner, move |model| {
                    model.send_call(owner, &worker, number, request);
                });
                return;
            }
        }
    }

    /// Sends the stops of a worker's queue, as many as may be under way at the same time.
    fn send_stops(&mut self, owner: usize, worker: &WorkerName) {
        loop {
            let now_ms = self.now_ms;
            let process = &mut self.owners[owner];
            let has_authority = process.has_authority(now_ms);
            let Some(tasks) = process.tasks.get_mut(worker) else {
                return;
            };
            if tasks.stops_in_flight >= STOPS_IN_FLIGHT {
                return;
            }
            let number = tasks.number;
            let Some(order) = tasks.stops.pop_front() else {
                return;
            };
            let is_due = has_authority
                && process.schedule.worker(worker).is_some()
                && process.schedule.begin_stop(&order, now_ms);
            if is_due {
                tasks.stops_in_flight += 1;
                self.send_call(owner, worker, number, WorkerRequest::Stop(order));
            }
        }
    }

    /// Checks a start order right before it is sent.
    fn prepare_start(&mut self, owner: usize, order: StartOrder) -> Option<WorkerRequest> {
        let now_ms = self.now_ms;
        if !self.owners[owner].schedule.is_start_pending(&order) {
            return None;
        }
        let lease_until_ms = self.lease_until(owner, &order.worker);
        let process = &mut self.owners[owner];
        if lease_until_ms.is_none()
            && self.profile.has_clock_reads
            && process.schedule.grants_lease(&order.worker)
        {
            let started_ms = process.tasks.get(&order.worker)?.started_ms;
            let scope = process.schedule.ends_scope(&order.worker);
            return Some(WorkerRequest::ReadClock {
                order,
                scope,
                started_ms,
            });
        }
        if let Some(lease_until_ms) = lease_until_ms
            && process.has_authority(now_ms)
            && process.schedule.renew_lease(&order.worker, now_ms)
        {
            return Some(WorkerRequest::Start {
                order,
                lease_until_ms,
            });
        }
        let reply = StartReply::Refused(StartRefusal::Late);
        self.apply_start_reply(owner, &order, reply);
        None
    }
}
