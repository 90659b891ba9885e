//! Moving instances between pools and taking them down for maintenance.

use {
    super::{
        instance_calls::{InstanceCalls, settle},
        leadership::{HandOver, Leadership},
        takeover::parsed,
    },
    crate::{
        node::{SchedulerNode, lock, millis, uptime_ms},
        owner::{OUTLASTS_CLAIM, OwnerClaim},
        store::wave_key,
    },
    dotterelshore_domain::schedule::{InstanceOrder, InstancePlan, WaveProgress},
    dotterelshore_platform::{
        CLOUD_TIMEOUT, CloudLink, KvFault, KvWrite, encode_wave_status, wave_status_key,
    },
    dotterelshore_wire::{event_log::unix_millis, log_event},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time between plans. A tenth of what a move takes.
const PLAN_PERIOD: Duration = Duration::from_millis(150);
/// Time between readings of the platform's list while nothing is under way.
const LIST_PERIOD: Duration = Duration::from_secs(1);
/// Added to the wait for an earlier owner's orders, for clocks and links.
const ORDER_SLACK: Duration = Duration::from_millis(300);
/// Time between log lines on what holds up a wave.
const TELL_PERIOD: Duration = Duration::from_secs(2);

/// Plans and orders until aborted.
pub(super) async fn keep_instances(
    node: Arc<SchedulerNode>,
    leadership: Arc<Leadership>,
    claim: OwnerClaim,
    handed_over: Option<HandOver>,
) {
    let Some(authority) = node.settings.cloud.clone() else {
        log_event!(Info, "no-interface-to-instances");
        return;
    };
    if claim.term > 1 && handed_over.is_none() {
        // An earlier owner orders until its authority ends, and an order of it may be under
        // way for the length of a call.
        let earlier = OUTLASTS_CLAIM + CLOUD_TIMEOUT + ORDER_SLACK;
        let since_claim = Duration::from_millis(uptime_ms().saturating_sub(claim.sent_ms));
        let wait = node.settings.instance_lease.max(earlier);
        tokio::time::sleep(wait.saturating_sub(since_claim)).await;
    }
    let cloud = CloudLink::new(authority, node.settings.name.to_string());
    let upkeep_ms = millis(node.settings.upkeep);
    let mut plan = InstancePlan::new(upkeep_ms, node.settings.instance_orders_per_s);
    let lease_ms = millis(node.settings.instance_lease);
    for (instance, age_ms) in handed_over.into_iter().flat_map(|handed| handed.ordered) {
        plan.rest(&instance, uptime_ms() + lease_ms.saturating_sub(age_ms));
    }
    let mut calls = InstanceCalls::new(cloud.clone());
    let mut recorded = true;
    let mut listed_at: Option<Instant> = None;
    let mut told_at = Instant::now();
    let mut ticks = node.timer.every(PLAN_PERIOD);
    loop {
        tokio::select! {
            answered = calls.next_answered() => {
                recorded &= !matches!(answered.0, InstanceOrder::Maintain { .. });
                settle(&leadership, &mut plan, answered);
                continue;
            }
            () = ticks.next() => {}
        }
        if !leadership.may_order() {
            continue;
        }
        let spare = node.table_now().and_then(|table| {
            let spare = table.pools.values().find(|row| row.spare);
            spare.map(|row| row.name.clone())
        });
        plan.set_spare(spare);
        take_waves(&node, &leadership, &mut plan).await;
        if listed_at.is_none_or(|at| at.elapsed() >= LIST_PERIOD) {
            match cloud.instances().await {
                Ok(list) => {
                    plan.take_list(list, uptime_ms());
                    listed_at = Some(Instant::now());
                }
                Err(fault) => {
                    node.metrics.count_retry("instance-list");
                    log_event!(Info, "instances-not-listed", error = fault);
                    continue;
                }
            }
        }
        tell_waves(&node, &leadership, &plan, &mut told_at);
        let (orders, stops) = {
            let now_ms = uptime_ms();
            let mut schedule = lock(&leadership.schedule);
            let mut orders = plan.ask_again(&schedule, now_ms);
            let (planned, stops) = plan.plan(&mut schedule, now_ms);
            orders.extend(planned);
            (orders, stops)
        };
        leadership.dispatch(stops);
        let maintains = |order: &InstanceOrder| matches!(order, InstanceOrder::Maintain { .. });
        let completed = plan.newly_completed();
        if orders.iter().any(maintains) || !completed.is_empty() || !recorded {
            // An owner that takes over has to know what may be down before it is ordered.
            recorded = store_waves(&node, &leadership, &plan).await;
        }
        for order in orders {
            if leadership.may_order() && (recorded || !maintains(&order)) {
                calls.send(&leadership, order);
            } else {
                withdraw(&leadership, &mut plan, &order);
            }
        }
    }
}

/// Takes back an order that was planned and not sent.
fn withdraw(leadership: &Leadership, plan: &mut InstancePlan, order: &InstanceOrder) {
    let worker = plan.worker_of(order.instance()).cloned();
    let may_be_down = match order {
        InstanceOrder::Move { instance, .. } => {
            plan.move_refused(instance);
            false
        }
        InstanceOrder::Maintain { instance, wave } => {
            plan.maintenance_refused(instance, *wave, false)
        }
    };
    if let Some(worker) = worker.filter(|_| !may_be_down) {
        lock(&leadership.schedule).set_cordon(&worker, false);
    }
}

async fn take_waves(node: &SchedulerNode, leadership: &Leadership, plan: &mut InstancePlan) {
    let orders = node.waves.borrow().clone();
    for order in orders {
        if plan.progress(order.number).is_some() {
            continue;
        }
        let recorded = match node.kv.read(&wave_key(order.number)).await {
            Ok(row) => parsed::<WaveProgress>(&row),
            Err(KvFault::NoKey) => None,
            Err(fault) => {
                log_event!(Info, "wave-not-read", wave = order.number, error = fault);
                continue;
            }
        };
        plan.take_wave(order, recorded.as_ref(), uptime_ms(), unix_millis());
        if recorded.is_none() {
            store_waves(node, leadership, plan).await;
        }
    }
}

/// Logs what pools have and ask for, and what holds up waves, now and then.
fn tell_waves(
    node: &SchedulerNode,
    leadership: &Leadership,
    plan: &InstancePlan,
    told_at: &mut Instant,
) {
    if told_at.elapsed() < TELL_PERIOD {
        return;
    }
    *told_at = Instant::now();
    let schedule = lock(&leadership.schedule);
    let pools = plan.pool_lines(&schedule, uptime_ms()).join(" ");
    log_event!(Info, "pools", pools = pools);
    for order in node.waves.borrow().iter() {
        let held_up = plan.held_up(order.number, &schedule);
        if !held_up.is_empty() {
            let instances = held_up.join(" ");
            log_event!(
                Info,
                "wave-waits",
                wave = order.number,
                instances = instances
            );
        }
    }
}

/// Records how far the waves are. Tells whether all of it is recorded.
async fn store_waves(node: &SchedulerNode, leadership: &Leadership, plan: &InstancePlan) -> bool {
    let mut whole = true;
    let orders = node.waves.borrow().clone();
    for progress in orders
        .iter()
        .filter_map(|order| plan.progress(order.number))
    {
        let Ok(value) = serde_json::to_vec(&progress) else {
            continue;
        };
        let status = encode_wave_status(progress.completed);
        let write = KvWrite::default()
            .write(wave_key(progress.number), &value, 0)
            .write(wave_status_key(progress.number), &status, 0);
        if let Err(fault) = leadership.log.commit(node, leadership, write).await {
            node.metrics.count_retry("wave-record");
            log_event!(
                Info,
                "wave-not-recorded",
                wave = progress.number,
                error = fault
            );
            whole = false;
        }
    }
    whole
}
