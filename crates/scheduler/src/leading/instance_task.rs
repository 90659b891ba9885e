//! Moving instances between pools and taking them down for maintenance.

use {
    super::{
        instance_calls::{InstanceCalls, settle},
        leadership::Leadership,
        order_record::OrderRecord,
        takeover::parsed,
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

/// Time between plans. A tenth of what a move takes.
const PLAN_PERIOD: Duration = Duration::from_millis(150);
/// Time between readings of the platform's list while nothing is under way.
const LIST_PERIOD: Duration = Duration::from_secs(1);
/// Time that an order of an earlier owner may be under way, with some slack for clocks.
const EARLIER_ORDERS: Duration = CLOUD_TIMEOUT.saturating_add(Duration::from_millis(300));
/// Time between log lines on what holds up a wave.
const TELL_PERIOD: Duration = Duration::from_secs(2);

/// Plans and orders until aborted.
pub(super) async fn keep_instances(
    node: Arc<SchedulerNode>,
    leadership: Arc<Leadership>,
    claim: OwnerClaim,
    ordered: Vec<InstanceName>,
) {
    let Some(authority) = node.settings.cloud.clone() else {
        log_event!(Info, "no-interface-to-instances");
        return;
    };
    let cloud = CloudClient::new(authority, node.settings.name.to_string());
    let upkeep_ms = millis(node.settings.upkeep);
    let mut plan = InstancePlan::new(upkeep_ms, node.settings.instance_orders_per_s);
    // Earlier owners' orders were recorded before they were sent, and only an owner can
    // record: what they may still have under way is for these instances.
    let rest_until_ms = claim.sent_ms + millis(node.settings.instance_lease + EARLIER_ORDERS);
    for instance in ordered {
        plan.set_cooldown(&instance, rest_until_ms);
    }
    let mut calls = InstanceCalls::new(cloud.clone());
    let mut record = OrderRecord::default();
    let mut listed_at: Option<Instant> = None;
    let mut told_at = Instant::now();
    let mut interval = node.timer.interval(PLAN_PERIOD);
    loop {
        tokio::select! {
            answered = calls.next_answered() => {
                settle(&leadership, &mut plan, answered);
                continue;
            }
            () = interval.tick() => {}
        }
        if !leadership.may_order() {
            continue;
        }
        let spare = node.table_now().and_then(|table| {
            let spare = table.pools.values().find(|row| row.spare);
            spare.map(|row| row.name.clone())
        });
        plan.set_spare(spare);
        take_waves(&node, &mut plan).await;
        if listed_at.is_none_or(|at| at.elapsed() >= LIST_PERIOD) {
            match cloud.instances().await {
                Ok(list) => {
                    let ended = lock(&leadership.schedule).remove_replaced_workers(&list);
                    if !ended.is_empty() {
                        log_event!(Info, "lives-replaced", workers = ended.len());
                        leadership.plan.notify_one();
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
        tell_waves(&node, &leadership, &plan, &mut told_at);
        let (orders, stops) = {
            let now_ms = uptime_ms();
            let mut schedule = lock(&leadership.schedule);
            let mut orders = plan.resend_unanswered(&mut schedule, now_ms);
            let (planned, stops) = plan.plan(&mut schedule, now_ms);
            orders.extend(planned);
            (orders, stops)
        };
        leadership.dispatch(stops);
        plan.complete_waves();
        let recorded = record.store(&node, &leadership, &plan, &orders).await;
        for order in orders {
            if recorded && leadership.may_order() {
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
            plan.revert_move(instance);
            false
        }
        InstanceOrder::Maintain { instance, wave } => {
            plan.record_maintenance_refusal(instance, *wave, false)
        }
    };
    if let Some(worker) = worker.filter(|_| !may_be_down) {
        lock(&leadership.schedule).set_cordon(&worker, false);
    }
}

async fn take_waves(node: &SchedulerNode, plan: &mut InstancePlan) {
    let orders = node.waves.borrow().clone();
    for order in orders {
        if plan.progress(order.number).is_some() {
            continue;
        }
        let recorded = match node.kv.read(&wave_key(order.number)).await {
            Ok(row) => parsed::<WaveProgress>(&row),
            Err(KvFault::KeyNotFound) => None,
            Err(fault) => {
                log_event!(Info, "wave-not-read", wave = order.number, error = fault);
                continue;
            }
        };
        plan.add_wave(order, recorded.as_ref(), uptime_ms(), unix_millis());
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
