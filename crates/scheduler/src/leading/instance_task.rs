//! Moves instances between pools and starts their maintenance.

use {
    super::{
        instance_calls::{InstanceCalls, apply_outcome},
        leadership::Leadership,
        order_record::OrderRecord,
        takeover::parse_record,
    },
    crate::{
        node::{SchedulerNode, lock, millis, uptime_ms},
        owner::OwnerClaim,
        store::wave_key,
    },
    dotterelshore_domain::{
        names::InstanceName,
        schedule::{InstanceOrder, InstancePlan, WaveProgress},
    },
    dotterelshore_platform::{CLOUD_TIMEOUT, CloudClient, KvFault},
    dotterelshore_wire::{event_log::unix_millis, log_event},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time between planning passes. A tenth of the duration of a move.
const PLAN_PERIOD: Duration = Duration::from_millis(150);
/// Shortest time between reads of the platform's list of instances.
const LIST_PERIOD: Duration = Duration::from_secs(1);
/// Longest time that a call of an earlier owner can still be open, with a margin for clocks.
const EARLIER_ORDERS_TIMEOUT: Duration = CLOUD_TIMEOUT.saturating_add(Duration::from_millis(300));
/// Time between log lines on pools and on waves that wait.
const LOG_PERIOD: Duration = Duration::from_secs(2);

/// Plans, records and sends orders for instances, until aborted.
pub(super) async fn reconcile_instances(
    node: Arc<SchedulerNode>,
    leadership: Arc<Leadership>,
    claim: OwnerClaim,
    recently_ordered: Vec<InstanceName>,
) {
    let Some(authority) = node.settings.cloud.clone() else {
        log_event!(Info, "no-interface-to-instances");
        return;
    };
    let cloud = CloudClient::new(authority, node.settings.name.to_string());
    let maintenance_ms = millis(node.settings.maintenance);
    let mut plan = InstancePlan::new(maintenance_ms, node.settings.instance_orders_per_s);
    // Owners record their orders before they send them, and only an owner can record, so
    // calls of earlier owners that are still open can only be for these instances.
    let cooldown_until_ms =
        claim.sent_ms + millis(node.settings.instance_lease + EARLIER_ORDERS_TIMEOUT);
    for instance in recently_ordered {
        plan.set_cooldown(&instance, cooldown_until_ms);
    }
    let mut calls = InstanceCalls::new(cloud.clone());
    let mut record = OrderRecord::default();
    let mut listed_at: Option<Instant> = None;
    let mut logged_at = Instant::now();
    let mut interval = node.timer.interval(PLAN_PERIOD);
    loop {
        tokio::select! {
            answered = calls.next_answered() => {
                apply_outcome(&leadership, &mut plan, answered);
                continue;
            }
            () = interval.tick() => {}
        }
        // A next owner knows nothing of what this one stops meanwhile.
        if !leadership.has_authority() || uptime_ms() >= leadership.sole_owner_until_ms() {
            continue;
        }
        let spare = node.current_table().and_then(|table| {
            let spare = table.pools.values().find(|row| row.spare);
            spare.map(|row| row.name.clone())
        });
        plan.set_spare(spare);
        add_wave_orders(&node, &mut plan).await;
        if listed_at.is_none_or(|at| at.elapsed() >= LIST_PERIOD) {
            match cloud.instances().await {
                Ok(list) => {
                    let ended = lock(&leadership.schedule).remove_replaced_workers(&list);
                    if !ended.is_empty() {
                        log_event!(Info, "lives-replaced", workers = ended.len());
                        leadership.plan_notify.notify_one();
                    }
                    plan.apply_instance_list(list, uptime_ms());
                    listed_at = Some(Instant::now());
                }
                Err(fault) => {
                    node.metrics.count_retry("instance-list");
                    log_event!(Info, "instances-not-listed", error = fault);
                    continue;
                }
            }
        }
        log_pools_and_waves(&node, &leadership, &plan, &mut logged_at);
        let (orders, stops) = {
            let now_ms = uptime_ms();
            let mut schedule = lock(&leadership.schedule);
            let mut orders = plan.resend_unanswered(&mut schedule, now_ms);
            let (planned, stops) = plan.plan(&mut schedule, now_ms);
            orders.extend(planned);
            (orders, stops)
        };
        leadership.dispatch(stops);
        log_lifted_cordons(&node, &mut plan);
        plan.complete_waves();
        let recorded = record.store(&node, &leadership, &plan, &orders).await;
        for order in orders {
            if recorded && leadership.has_authority() {
                calls.send(&leadership, order);
            } else {
                withdraw(&leadership, &mut plan, &order);
            }
        }
    }
}

/// Logs and counts the workers that get tasks again although a wave still waits for them.
fn log_lifted_cordons(node: &SchedulerNode, plan: &mut InstancePlan) {
    for lifted in plan.take_lifted_cordons() {
        node.metrics.cordons_lifted.inc();
        log_event!(
            Info,
            "cordon-lifted",
            worker = lifted.worker,
            instance = lifted.instance
        );
    }
}

/// Reverts an order that was planned and not sent.
fn withdraw(leadership: &Leadership, plan: &mut InstancePlan, order: &InstanceOrder) {
    let worker = plan.worker_of(order.instance()).cloned();
    let may_be_disrupted = match order {
        InstanceOrder::Move { instance, .. } => {
            plan.revert_move(instance);
            false
        }
        InstanceOrder::Maintain { instance, wave } => {
            plan.record_maintenance_refusal(instance, *wave, false)
        }
    };
    if let Some(worker) = worker.filter(|_| !may_be_disrupted) {
        lock(&leadership.schedule).set_cordon(&worker, false);
    }
}

/// Adds waves that operators ordered to the plan, with their recorded progress.
async fn add_wave_orders(node: &SchedulerNode, plan: &mut InstancePlan) {
    let orders = node.waves.borrow().clone();
    for order in orders {
        if plan.progress(order.number).is_some() {
            continue;
        }
        let recorded = match node.kv.read(&wave_key(order.number)).await {
            Ok(row) => parse_record::<WaveProgress>(&row),
            Err(KvFault::KeyNotFound) => None,
            Err(fault) => {
                log_event!(Info, "wave-not-read", wave = order.number, error = fault);
                continue;
            }
        };
        plan.add_wave(order, recorded.as_ref(), uptime_ms(), unix_millis());
    }
}

/// Logs each pool's capacity and demand, and what each wave waits for, every [`LOG_PERIOD`].
fn log_pools_and_waves(
    node: &SchedulerNode,
    leadership: &Leadership,
    plan: &InstancePlan,
    logged_at: &mut Instant,
) {
    if logged_at.elapsed() < LOG_PERIOD {
        return;
    }
    *logged_at = Instant::now();
    let schedule = lock(&leadership.schedule);
    let pools = plan.pool_summaries(&schedule, uptime_ms()).join(" ");
    log_event!(Info, "pools", pools = pools);
    for order in node.waves.borrow().iter() {
        let blockers = plan.wave_blockers(order.number, &schedule);
        if !blockers.is_empty() {
            let instances = blockers.join(" ");
            log_event!(
                Info,
                "wave-waits",
                wave = order.number,
                instances = instances
            );
        }
    }
}
