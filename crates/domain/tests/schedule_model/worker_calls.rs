//! Calls of owners to workers, over a network that loses, delays and reorders them.

use {
    super::{
        fleet_model::FleetModel,
        worker_process::{RunScript, StartOutcome},
    },
    dotterelshore_domain::{
        names::WorkerName,
        schedule::{
            EndReason, PollScope, StartOrder, StartRefusal, StartReply, StopOrder, TaskName,
            WorkerReport,
        },
    },
};

/// Longest time for the answer to an order, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 500;
/// Time beyond its own wait after which a poll times out, in milliseconds.
const POLL_SLACK_MS: u64 = 600;
/// Longest delay of a call without an answer, in milliseconds.
const LATE_CALL_MS: u64 = 12_000;
/// A call that took longer counts as late at the worker, in milliseconds.
const LATE_AFTER_MS: u64 = 500;
/// How long after its start a culprit crashes its worker, in milliseconds.
const CRASH_AFTER_MS: u64 = 10;

/// A request to a worker.
#[derive(Debug, Clone)]
pub(super) enum WorkerRequest {
    Start {
        order: StartOrder,
        lease_until_ms: u64,
    },
    Stop(StopOrder),
    Poll {
        lease_until_ms: Option<u64>,
        acknowledged_end: u64,
        wait_ms: Option<u64>,
        scope: PollScope,
        started_ms: u64,
    },
    /// A poll that reads the clock before a start.
    ReadClock {
        order: StartOrder,
        scope: PollScope,
        started_ms: u64,
    },
}

/// A worker's answer.
#[derive(Debug, Clone)]
pub(super) enum WorkerAnswer {
    Start(StartReply),
    Stopped(u64),
    Lists(WorkerReport),
    Fenced,
    Unanswered,
}

/// A call that its owner waits for.
#[derive(Debug, Clone)]
pub(super) struct PendingCall {
    pub(super) owner: usize,
    pub(super) worker: WorkerName,
    /// The number of the tasks that made the call.
    pub(super) tasks: u64,
    pub(super) token: u64,
    pub(super) request: WorkerRequest,
    /// The number of the poll.
    pub(super) poll: u64,
    pub(super) sent_ms: u64,
    /// The worker's incarnation that waits for a run to end before it answers.
    pub(super) waits_at: Option<u64>,
}

/// What becomes of a call.
#[derive(Debug, Clone, Copy)]
enum CallFate {
    Answered,
    AnswerLost,
    Lost,
    Late,
}

impl FleetModel {
    /// Sends a call, which is closed by an answer or by its timeout.
    pub(super) fn send_call(
        &mut self,
        owner: usize,
        worker: &WorkerName,
        tasks: u64,
        request: WorkerRequest,
    ) {
        let timeout_ms = match &request {
            WorkerRequest::Poll { wait_ms, .. } => POLL_SLACK_MS + wait_ms.unwrap_or_default(),
            WorkerRequest::ReadClock { .. } => POLL_SLACK_MS,
            _ => ORDER_TIMEOUT_MS,
        };
        let is_poll = matches!(
            request,
            WorkerRequest::Poll { .. } | WorkerRequest::ReadClock { .. }
        );
        let tasks_of = self.owners[owner].tasks.get_mut(worker);
        let poll = tasks_of.filter(|_| is_poll);
        let poll = poll.map_or(0, |tasks| tasks.clock.begin_poll());
        let call = PendingCall {
            owner,
            worker: worker.clone(),
            tasks,
            token: self.owners[owner].token,
            request,
            poll,
            sent_ms: self.now_ms,
            waits_at: None,
        };
        let id = self.take_number();
        self.calls.insert(id, call.clone());
        self.after_in_owner(owner, timeout_ms, move |model| {
            model.close_call(id, WorkerAnswer::Unanswered);
        });
        let Some(life) = self.workers.get(worker).map(|process| process.life) else {
            if self.chance(0.5) {
                // The connection is refused.
                self.after_in_owner(owner, 2, move |model| {
                    model.close_call(id, WorkerAnswer::Unanswered);
                });
            }
            return;
        };
        let fate = self.draw_fate(&call);
        let delay_ms = match fate {
            CallFate::Lost => return,
            CallFate::Late => self.draw(600..LATE_CALL_MS),
            _ => self.draw_latency(),
        };
        self.after(delay_ms, move |model| {
            if model.is_alive(&call.worker, life) {
                model.execute(id, call, fate);
            }
        });
    }

    fn draw_fate(&mut self, call: &PendingCall) -> CallFate {
        if self.is_cut(&call.worker) {
            return CallFate::Lost;
        }
        let is_order = !matches!(call.request, WorkerRequest::Poll { .. });
        if is_order && self.now_ms < self.faults_until_ms && self.chance(self.profile.late_orders) {
            return CallFate::Late;
        }
        if self.now_ms >= self.windows.network {
            return CallFate::Answered;
        }
        match self.draw(0..100) {
            0..10 => CallFate::Late,
            10..18 => CallFate::AnswerLost,
            18..24 => CallFate::Lost,
            _ => CallFate::Answered,
        }
    }

    fn draw_latency(&mut self) -> u64 {
        let is_slow = self.now_ms < self.windows.network && self.chance(0.1);
        self.draw(if is_slow { 20..450 } else { 1..5 })
    }

    pub(super) fn is_cut(&self, worker: &WorkerName) -> bool {
        let until_ms = self.cut_until_ms.get(worker);
        until_ms.is_some_and(|until_ms| self.now_ms < *until_ms)
    }

    pub(super) fn is_alive(&self, worker: &WorkerName, life: u64) -> bool {
        let process = self.workers.get(worker);
        process.is_some_and(|process| process.life == life)
    }

    /// Carries out a call at its worker.
    fn execute(&mut self, id: u64, call: PendingCall, fate: CallFate) {
        let Some(process) = self.workers.get_mut(&call.worker) else {
            return;
        };
        let (life, clock_ms) = (process.life, process.clock.read(self.now_ms));
        if process.refuses_token(call.token) {
            let answer = match call.request {
                WorkerRequest::Start { .. } => {
                    WorkerAnswer::Start(StartReply::Refused(StartRefusal::Fenced))
                }
                _ => WorkerAnswer::Fenced,
            };
            self.answer(id, answer, fate);
            return;
        }
        let answer = match call.request {
            WorkerRequest::Start {
                order,
                lease_until_ms,
            } => {
                let late = self.now_ms > call.sent_ms + LATE_AFTER_MS;
                WorkerAnswer::Start(self.execute_start(&order, lease_until_ms, late))
            }
            WorkerRequest::Stop(order) => {
                self.execute_stop(&order);
                WorkerAnswer::Stopped(clock_ms)
            }
            WorkerRequest::ReadClock { .. } => {
                self.await_end(id, &call.worker, 0, fate);
                return;
            }
            WorkerRequest::Poll {
                lease_until_ms,
                acknowledged_end,
                wait_ms,
                ..
            } => {
                if let Some(until_ms) = lease_until_ms {
                    process.extend_lease(until_ms, self.now_ms);
                }
                for end in process.acknowledge(acknowledged_end) {
                    self.oracle.record_acknowledged(life, &end);
                }
                self.watch_lease(&call.worker);
                self.await_end(id, &call.worker, wait_ms.unwrap_or_default(), fate);
                return;
            }
        };
        self.answer(id, answer, fate);
    }

    /// Answers a poll with the lists: at once if there are ends, otherwise after the next end or
    /// when the poll has waited.
    fn await_end(&mut self, id: u64, worker: &WorkerName, wait_ms: u64, fate: CallFate) {
        let Some(process) = self.workers.get(worker) else {
            return;
        };
        let life = process.life;
        if wait_ms == 0 || process.has_ends() || !matches!(fate, CallFate::Answered) {
            let report = process.report(self.now_ms);
            self.answer(id, WorkerAnswer::Lists(report), fate);
            return;
        }
        if let Some(call) = self.calls.get_mut(&id) {
            call.waits_at = Some(life);
        }
        self.after(wait_ms, move |model| model.end_wait(id));
    }

    fn end_wait(&mut self, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(life) = call.waits_at.take() else {
            return;
        };
        let worker = call.worker.clone();
        if self.is_alive(&worker, life) {
            let report = self.workers[&worker].report(self.now_ms);
            self.answer(id, WorkerAnswer::Lists(report), CallFate::Answered);
        }
    }

    fn end_waits(&mut self, worker: &WorkerName) {
        let waiting = self.calls.iter();
        let waiting = waiting.filter(|(_, call)| call.waits_at.is_some() && call.worker == *worker);
        let ids: Vec<_> = waiting.map(|(id, _)| *id).collect();
        for id in ids {
            self.end_wait(id);
        }
    }

    /// Closes the polls that wait at a worker which is gone.
    pub(super) fn reset_waits(&mut self, worker: &WorkerName) {
        let waiting = self.calls.iter();
        let waiting = waiting.filter(|(_, call)| call.waits_at.is_some() && call.worker == *worker);
        let waiting: Vec<_> = waiting.map(|(id, call)| (*id, call.owner)).collect();
        for (id, owner) in waiting {
            let delay_ms = self.draw_latency();
            self.after_in_owner(owner, delay_ms, move |model| {
                model.close_call(id, WorkerAnswer::Unanswered);
            });
        }
    }

    fn answer(&mut self, id: u64, answer: WorkerAnswer, fate: CallFate) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let owner = call.owner;
        if !matches!(fate, CallFate::Answered) || self.is_cut(&call.worker) {
            return;
        }
        let delay_ms = self.draw_latency();
        self.after_in_owner(owner, delay_ms, move |model| model.close_call(id, answer));
    }

    fn execute_start(&mut self, order: &StartOrder, lease_until_ms: u64, late: bool) -> StartReply {
        let script = self.draw_script(&order.task);
        let now_ms = self.now_ms;
        let Some(process) = self.workers.get_mut(&order.worker) else {
            return StartReply::Unknown;
        };
        let life = process.life;
        let clock_ms = process.clock.read(now_ms);
        let outcome = process.start(order, lease_until_ms, script, now_ms);
        if outcome == StartOutcome::Started {
            self.oracle.record_start(&order.task, order.run, life, late);
            self.schedule_end(&order.worker, &order.task, order.run, script);
        } else {
            let text = format!(
                "start of {} run {} at life {life}: {outcome:?}",
                order.task, order.run
            );
            self.oracle.note(Some(&order.task.job), text);
        }
        self.watch_lease(&order.worker);
        match outcome {
            StartOutcome::Refused(refusal) => StartReply::Refused(refusal),
            _ => StartReply::Started { clock_ms },
        }
    }

    fn schedule_end(&mut self, worker: &WorkerName, task: &TaskName, run: u32, script: RunScript) {
        if script.crashes {
            let (worker, task) = (worker.clone(), task.clone());
            let life = self.workers[&worker].life;
            self.after(CRASH_AFTER_MS, move |model| {
                let process = model.workers.get(&worker);
                let process = process.filter(|process| process.life == life);
                if process.is_some_and(|process| process.find(&task, run).is_some()) {
                    model.oracle.record_crash(&task);
                    model.crash_named(&worker);
                }
            });
            return;
        }
        let end = match (script.fails_after_ms, script.long_running) {
            (Some(after_ms), _) => Some((after_ms, EndReason::Failed)),
            (None, false) => Some((script.work_ms, EndReason::Done)),
            (None, true) => None,
        };
        if let Some((after_ms, reason)) = end {
            self.end_run_after(after_ms, worker, task, run, reason);
        }
    }

    fn execute_stop(&mut self, order: &StopOrder) {
        let Some(process) = self.workers.get_mut(&order.worker) else {
            return;
        };
        let life = process.life;
        let is_there = process.stop(&order.task, order.run);
        let text = format!(
            "stop of {} run {} at life {life}: there={is_there}",
            order.task, order.run
        );
        self.oracle.note(Some(&order.task.job), text);
        if is_there {
            let after_ms = self.draw(5..200);
            let reason = EndReason::Stopped;
            self.end_run_after(after_ms, &order.worker, &order.task, order.run, reason);
        }
    }

    /// Ends a run of the worker's current incarnation after some time, unless it has ended then.
    fn end_run_after(
        &mut self,
        after_ms: u64,
        worker: &WorkerName,
        task: &TaskName,
        run: u32,
        reason: EndReason,
    ) {
        let (worker, task) = (worker.clone(), task.clone());
        let life = self.workers[&worker].life;
        self.after(after_ms, move |model| {
            if model.is_alive(&worker, life) {
                model.end_run(&worker, &task, run, reason);
            }
        });
    }

    fn end_run(&mut self, worker: &WorkerName, task: &TaskName, run: u32, reason: EndReason) {
        let Some(process) = self.workers.get_mut(worker) else {
            return;
        };
        if process.find(task, run).is_none() {
            return;
        }
        let life = process.life;
        let number = process.end(task, run, reason);
        self.oracle
            .record_end(task, run, life, reason, Some(number));
        self.end_waits(worker);
    }

    /// Ends the worker's runs once its lease has expired.
    fn watch_lease(&mut self, worker: &WorkerName) {
        let process = &self.workers[worker];
        let (life, clock) = (process.life, process.clock);
        let delay_ms = clock
            .time_past(process.lease_until_ms)
            .saturating_sub(self.now_ms);
        let worker = worker.clone();
        self.after(delay_ms, move |model| {
            if model.is_alive(&worker, life) {
                model.expire_lease(&worker);
            }
        });
    }

    fn expire_lease(&mut self, worker: &WorkerName) {
        let process = &self.workers[worker];
        if process.clock.read(self.now_ms) <= process.lease_until_ms {
            return;
        }
        self.oracle.record_lapse(process.life);
        let runs = process.runs.iter();
        let runs: Vec<_> = runs.map(|run| (run.task.clone(), run.run)).collect();
        for (task, run) in runs {
            self.end_run(worker, &task, run, EndReason::LeaseExpired);
        }
    }
}
