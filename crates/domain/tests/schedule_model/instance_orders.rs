//! The platform's instances, and the owner's task that orders their maintenance.

use {
    super::{
        fleet_model::FleetModel,
        owner_planning::order_key,
        store_model::{InstanceRecord, OwnerWrite},
    },
    dotterelshore_domain::{
        names::{InstanceName, PoolName, WorkerName},
        schedule::{InstanceActivity, InstanceOrder, InstancePlan, ListedInstance, WaveSpec},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Time between planning passes, in milliseconds.
const PLAN_PERIOD_MS: u64 = 150;
/// Shortest time between reads of the list, in milliseconds.
const LIST_PERIOD_MS: u64 = 1_000;
/// Longest time for the platform's answer, in milliseconds.
const CLOUD_TIMEOUT_MS: u64 = 700;
/// Longest delay of an order without an answer, in milliseconds.
const LATE_ORDER_MS: u64 = 3_000;
/// How long an instance that an earlier owner ordered gets no orders, in milliseconds.
const COOLDOWN_MS: u64 = 4_000;
/// Expected duration of a maintenance, in milliseconds.
const MAINTENANCE_MS: u64 = 2_000;
/// Orders per second that the platform accepts.
const ORDERS_PER_S: f64 = 10.0;
/// Time for the instances of a wave, in milliseconds.
const WAVE_MS: u64 = 8_000;
/// Waves, each of all instances.
const WAVES: u64 = 3;
/// Time between the starts of two waves, in milliseconds.
const WAVE_PERIOD_MS: u64 = 3_500;
/// Share of the calls whose answer is lost, or that are carried out late, while faults are injected.
const UNANSWERED: f64 = 0.3;
/// Pause before an answer that arrives during a planning pass is applied, in milliseconds.
const ANSWER_PAUSE_MS: u64 = 5;

/// An instance of the platform.
#[derive(Debug, Default)]
pub(super) struct ModelInstance {
    token: u64,
    waves: BTreeSet<u64>,
    in_maintenance: bool,
}

/// The state of the owner's task.
#[derive(Debug, Default)]
pub(super) struct InstanceTask {
    plan: InstancePlan,
    listed_ms: Option<u64>,
    is_busy: bool,
    recorded: InstanceRecord,
}

/// The platform's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderAnswer {
    Done,
    Busy,
    Fenced,
    Unanswered,
}

impl FleetModel {
    /// Orders waves, each of all instances, one after the other.
    pub(super) fn start_waves(&mut self) {
        for number in 1..=WAVES {
            let delay_ms = number * WAVE_PERIOD_MS - self.draw(0..2_500);
            self.after(delay_ms, move |model| {
                model.oracle.note(None, format!("wave {number} starts"));
                model.waves.push(number);
            });
        }
    }

    pub(super) fn start_instance_task(&mut self, owner: usize, record: InstanceRecord) {
        let until_ms = self.now_ms + COOLDOWN_MS;
        let mut plan = InstancePlan::new(MAINTENANCE_MS, ORDERS_PER_S);
        for instance in &record.ordered {
            plan.set_cooldown(instance, until_ms);
        }
        self.owners[owner].instances = InstanceTask {
            plan,
            recorded: record,
            ..InstanceTask::default()
        };
        self.tick_instances(owner);
    }

    fn tick_instances(&mut self, owner: usize) {
        self.reconcile_instances(owner);
        self.after_in_owner(owner, PLAN_PERIOD_MS, move |model| {
            if model.owners[owner].leads() {
                model.tick_instances(owner);
            }
        });
    }

    fn reconcile_instances(&mut self, owner: usize) {
        let (now_ms, wall_ms) = (self.now_ms, self.wall_ms());
        let process = &mut self.owners[owner];
        if !process.has_authority(now_ms) || process.instances.is_busy {
            return;
        }
        let task = &mut process.instances;
        for number in self.waves.iter().copied() {
            let spec = WaveSpec {
                number,
                instances: self.instances.keys().cloned().collect(),
                duration_ms: WAVE_MS,
                at_once: 2,
            };
            let recorded = task.recorded.waves.get(&number);
            task.plan.add_wave(spec, recorded, now_ms, wall_ms);
        }
        let is_listed = task
            .listed_ms
            .is_some_and(|at| now_ms < at + LIST_PERIOD_MS);
        task.is_busy = true;
        if is_listed {
            self.order_instances(owner);
            return;
        }
        let there_ms = self.draw(2..40);
        self.after(there_ms, move |model| {
            let list = model.list_instances();
            let is_late = model.now_ms < model.faults_until_ms && model.chance(0.2);
            let back_ms = model.draw(if is_late { 40..CLOUD_TIMEOUT_MS } else { 2..40 });
            model.after_in_owner(owner, back_ms, move |model| {
                model.apply_instances(owner, list);
            });
        });
    }

    fn apply_instances(&mut self, owner: usize, list: Vec<ListedInstance>) {
        let now_ms = self.now_ms;
        let process = &mut self.owners[owner];
        if !process.leads() {
            return;
        }
        // One row at a time: the order of the ended workers must not depend on a hash map.
        let rows = list.iter().map(std::slice::from_ref);
        let ended = rows.flat_map(|row| process.schedule.remove_replaced_workers(row));
        let ended: Vec<_> = ended.collect();
        process.instances.plan.apply_instance_list(list, now_ms);
        process.instances.listed_ms = Some(now_ms);
        if !ended.is_empty() {
            let text = format!("owner {owner} removes {ended:?} by the list of instances");
            self.oracle.note(None, text);
            self.notify_planner(owner);
        }
        self.order_instances(owner);
    }

    /// Plans, records and sends orders.
    fn order_instances(&mut self, owner: usize) {
        let now_ms = self.now_ms;
        let process = &mut self.owners[owner];
        let task = &mut process.instances;
        let mut orders = task.plan.resend_unanswered(&mut process.schedule, now_ms);
        let (planned, mut stops) = task.plan.plan(&mut process.schedule, now_ms);
        orders.extend(planned);
        orders.sort_by_key(|order| order.instance().clone());
        stops.sort_by_key(order_key);
        task.plan.complete_waves();
        let waves = self.waves.iter();
        let waves = waves.filter_map(|number| Some((*number, task.plan.progress(*number)?)));
        let ordered = orders.iter().map(|order| order.instance().clone());
        let record = InstanceRecord {
            ordered: ordered.collect(),
            waves: waves.collect(),
        };
        self.dispatch(owner, stops);
        let task = &mut self.owners[owner].instances;
        if orders.is_empty() && record.waves == task.recorded.waves {
            task.is_busy = false;
            return;
        }
        self.commit(
            owner,
            OwnerWrite::Instances(record.clone()),
            move |model, stored| {
                let process = &mut model.owners[owner];
                process.instances.is_busy = false;
                let may_send = stored && process.has_authority(model.now_ms);
                if stored {
                    process.instances.recorded = record;
                }
                for order in orders {
                    if may_send {
                        model.send_instance_order(owner, order);
                    } else {
                        model.withdraw_instance_order(owner, &order);
                    }
                }
            },
        );
    }

    fn withdraw_instance_order(&mut self, owner: usize, order: &InstanceOrder) {
        let process = &mut self.owners[owner];
        let plan = &mut process.instances.plan;
        let worker = plan.worker_of(order.instance()).cloned();
        let InstanceOrder::Maintain { instance, wave } = order else {
            return;
        };
        let may_be_disrupted = plan.record_maintenance_refusal(instance, *wave, false);
        if let Some(worker) = worker.filter(|_| !may_be_disrupted) {
            process.schedule.set_cordon(&worker, false);
        }
    }

    fn send_instance_order(&mut self, owner: usize, order: InstanceOrder) {
        let InstanceOrder::Maintain { instance, wave } = order else {
            return;
        };
        let token = self.owners[owner].token;
        let text = format!("owner {owner} orders maintenance of {instance} for wave {wave}");
        self.oracle.note(None, text);
        let is_unanswered = self.now_ms < self.faults_until_ms && self.chance(UNANSWERED);
        let there_ms = if is_unanswered && self.chance(0.3) {
            self.draw(CLOUD_TIMEOUT_MS..LATE_ORDER_MS)
        } else {
            self.draw(2..200)
        };
        let is_lost = is_unanswered && self.chance(0.2);
        let back_ms = self.draw(2..200);
        let (ordered, answered) = (instance.clone(), instance.clone());
        if is_unanswered {
            self.after_in_owner(owner, CLOUD_TIMEOUT_MS, move |model| {
                model.apply_order_outcome(owner, answered, wave, token, OrderAnswer::Unanswered);
            });
        }
        self.after(there_ms, move |model| {
            if is_lost {
                return;
            }
            let answer = model.execute_instance_order(&ordered, wave, token);
            if !is_unanswered {
                model.after_in_owner(owner, back_ms, move |model| {
                    model.apply_order_outcome(owner, instance, wave, token, answer);
                });
            }
        });
    }

    /// Applies the outcome of a call, once the planning pass that is under way has ended.
    fn apply_order_outcome(
        &mut self,
        owner: usize,
        instance: InstanceName,
        wave: u64,
        token: u64,
        answer: OrderAnswer,
    ) {
        let now_ms = self.now_ms;
        let process = &mut self.owners[owner];
        if !process.leads() {
            return;
        }
        if process.instances.is_busy {
            self.after_in_owner(owner, ANSWER_PAUSE_MS, move |model| {
                model.apply_order_outcome(owner, instance, wave, token, answer);
            });
            return;
        }
        let plan = &mut process.instances.plan;
        let worker = plan.worker_of(&instance).cloned();
        let is_repeated = plan.is_repeated(&instance, wave);
        let is_done = answer == OrderAnswer::Done;
        let mut keeps_cordon = is_done || answer == OrderAnswer::Unanswered;
        if keeps_cordon {
            plan.record_maintenance_start(&instance, wave, is_done, now_ms);
        } else {
            keeps_cordon = plan.record_maintenance_refusal(&instance, wave, false);
        }
        if let Some(worker) = &worker {
            if is_done && is_repeated {
                process.schedule.confirm_repeated_disruption(worker, now_ms);
            } else if is_done {
                process.schedule.confirm_disruption(worker, now_ms);
            } else if !keeps_cordon {
                process.schedule.set_cordon(worker, false);
            }
        }
        let text = format!(
            "owner {owner}: order for {instance}, wave {wave}, {answer:?}, worker {worker:?}, \
             repeated {is_repeated}"
        );
        self.oracle.note(None, text);
        if answer == OrderAnswer::Fenced {
            self.mark_fenced(owner, token);
        }
    }

    /// Carries out an order at the platform: everything on the instance ends at once, and another
    /// worker starts there later.
    fn execute_instance_order(
        &mut self,
        name: &InstanceName,
        wave: u64,
        token: u64,
    ) -> OrderAnswer {
        let worker = self.hosted_worker(name);
        let Some(instance) = self.instances.get_mut(name) else {
            return OrderAnswer::Busy;
        };
        if token < instance.token {
            return OrderAnswer::Fenced;
        }
        instance.token = token;
        if instance.waves.contains(&wave) {
            return OrderAnswer::Done;
        }
        let Some(worker) = worker.filter(|_| !instance.in_maintenance) else {
            return OrderAnswer::Busy;
        };
        instance.waves.insert(wave);
        instance.in_maintenance = true;
        self.end_worker(&worker);
        let (unlist_ms, restart_ms) = (self.draw(50..1_200), self.draw(1_500..2_000));
        let text = format!("{name} is maintained for wave {wave}, {worker} ends");
        self.oracle.record_fault(restart_ms, text);
        self.unlist_later(&worker, unlist_ms);
        let name = name.clone();
        self.after(restart_ms, move |model| {
            if let Some(instance) = model.instances.get_mut(&name) {
                instance.in_maintenance = false;
            }
            let slot = super::fault_plan::slot_of(&worker);
            let next = model.new_name(slot);
            model.start_worker(slot, &next);
        });
        OrderAnswer::Done
    }

    /// Returns the worker that an instance hosts now.
    fn hosted_worker(&self, instance: &InstanceName) -> Option<WorkerName> {
        let hosted = self.workers.iter();
        let mut hosted =
            hosted.filter(|(_, process)| process.listed.instance.as_ref() == Some(instance));
        hosted.next().map(|(name, _)| name.clone())
    }

    fn list_instances(&self) -> Vec<ListedInstance> {
        let rows = self.instances.iter().map(|(name, instance)| {
            let worker = self.hosted_worker(name);
            let activity = match &worker {
                _ if instance.in_maintenance => InstanceActivity::Disrupted,
                Some(_) => InstanceActivity::Up,
                None => InstanceActivity::Down,
            };
            ListedInstance {
                name: name.clone(),
                pool: PoolName::try_from("proofs").expect("a name"),
                activity,
                worker,
            }
        });
        rows.collect()
    }
}

/// Returns instances that host a worker each.
pub(super) fn instances_of(slots: u64) -> BTreeMap<InstanceName, ModelInstance> {
    let names = (0..slots).map(|slot| InstanceName::try_from(format!("host-{slot}")));
    names
        .map(|name| (name.expect("a name"), ModelInstance::default()))
        .collect()
}
