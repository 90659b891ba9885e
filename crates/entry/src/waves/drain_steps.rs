//! The steps of maintaining one instance: token, draining, confirmation, stop, return.

use {
    super::pool_shortfall::pool_shortfall,
    crate::{
        dispatch::is_instance_idle,
        fleet::{CachedInstance, refresh_targets},
        node::EntryNode,
        peers,
        table::expected_entries,
    },
    dotterelshore_domain::{
        codes::{Refusal, ResultCode},
        fleet::{InstanceRecord, PoolLedger, ServiceState},
        names::{InstanceName, PoolName, WaveName},
    },
    dotterelshore_wire::{
        log_event,
        peer_message::{PeerCall, PeerReply},
        store_client::UpdateDecision,
    },
    std::{sync::Arc, time::Duration},
};

/// Timeout of a drain check at a peer.
const DRAIN_CHECK_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause between checks whether an instance is idle; it doubles from the initial to the
/// maximum value.
const IDLE_POLL_PAUSE_INITIAL: Duration = Duration::from_millis(50);
const IDLE_POLL_PAUSE_MAX: Duration = Duration::from_millis(400);
/// Mean pause before a step is retried after the store or the platform failed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Number of idle checks per log line while a drain waits.
const POLLS_PER_LOG_LINE: u32 = 10;

/// Acquires the disruption token of an instance, within its pool's availability budget.
///
/// # Errors
///
/// Refuses if the pool is unknown or its budget is spent, or if the store fails.
pub(super) async fn acquire_token(
    node: &EntryNode,
    pool: &PoolName,
    instance: &InstanceName,
    holder: &WaveName,
) -> Result<(), Refusal> {
    let row = node.table().pool(pool)?.clone();
    let shortfall = pool_shortfall(node, &row);
    node.store
        .update(&format!("pool/{pool}"), |ledger: Option<PoolLedger>| {
            let mut ledger = ledger.unwrap_or_default();
            ledger.acquire_token(
                instance,
                holder,
                &shortfall.unavailable,
                shortfall.missing,
                row.max_out,
            )?;
            Ok(UpdateDecision::Write(ledger, ()))
        })
        .await
}

/// Whether `holder` holds the token of an instance.
///
/// # Errors
///
/// Fails if the store can't be read.
pub(super) async fn holds_token(
    node: &EntryNode,
    pool: &PoolName,
    instance: &InstanceName,
    holder: &WaveName,
) -> Result<bool, Refusal> {
    let ledger = node
        .store
        .get::<PoolLedger>(&format!("pool/{pool}"))
        .await?;
    let ledger = ledger.map(|ledger| ledger.value).unwrap_or_default();
    Ok(ledger.holder_of(instance) == Some(holder))
}

/// Releases a token, and retries while the store is unavailable.
pub(super) async fn release_token(
    node: &EntryNode,
    pool: &PoolName,
    instance: &InstanceName,
    holder: &WaveName,
) {
    retry_transient(|| async {
        node.store
            .update(&format!("pool/{pool}"), |ledger: Option<PoolLedger>| {
                let mut ledger = ledger.unwrap_or_default();
                ledger.release_token(instance, holder);
                Ok(UpdateDecision::Write(ledger, ()))
            })
            .await
    })
    .await;
}

/// Changes an instance's record, and applies it to this entry's view of the fleet at once.
///
/// # Errors
///
/// Refuses if no such instance is recorded or `change` refuses, or if the store fails.
pub(super) async fn change_instance(
    node: &Arc<EntryNode>,
    instance: &InstanceName,
    change: impl Fn(&mut InstanceRecord) -> Result<(), Refusal>,
) -> Result<CachedInstance, Refusal> {
    let unknown = || {
        Refusal::not_run(
            ResultCode::UnknownInstance,
            format!("no instance '{instance}' is recorded"),
        )
    };
    let key = format!("instance/{instance}");
    node.store
        .update(&key, |record: Option<InstanceRecord>| {
            let mut record = record.ok_or_else(unknown)?;
            change(&mut record)?;
            Ok(UpdateDecision::Write(record, ()))
        })
        .await?;
    let stored = node
        .store
        .get::<InstanceRecord>(&key)
        .await?
        .ok_or_else(unknown)?;
    node.fleet
        .apply_record(stored.version, stored.value.clone());
    refresh_targets(node);
    Ok(CachedInstance {
        version: stored.version,
        record: stored.value,
    })
}

/// Marks an instance as draining; an instance that is already draining is left unchanged.
///
/// # Errors
///
/// Refuses if the instance is unknown or can't be drained now, or if the store fails.
pub(super) async fn mark_draining(
    node: &Arc<EntryNode>,
    instance: &InstanceName,
) -> Result<CachedInstance, Refusal> {
    change_instance(node, instance, |record| match record.state {
        ServiceState::Draining => Ok(()),
        _ => record.begin_drain(),
    })
    .await
}

/// Waits until an instance is idle.
///
/// It is idle when every live entry confirms that it sends the instance no work and has no
/// run there, and the instance itself reports no run or is listed as stopped.
pub(super) async fn await_idle(node: &Arc<EntryNode>, cached: &CachedInstance) {
    let mut pause = IDLE_POLL_PAUSE_INITIAL;
    for polls in 0_u32.. {
        let busy = busy_entries(node, cached).await;
        let idle = busy.is_empty()
            && (node.fleet.is_stopped(&cached.record.name)
                || is_instance_idle(node, &cached.record.address).await);
        if idle {
            return;
        }
        if polls % POLLS_PER_LOG_LINE == POLLS_PER_LOG_LINE - 1 {
            log_event!(
                Info,
                "drain-waits",
                instance = cached.record.name,
                entries = busy.join(",")
            );
        }
        tokio::time::sleep(pause).await;
        pause = IDLE_POLL_PAUSE_MAX.min(pause * 2);
    }
}

/// Returns the entries that have runs on the instance or do not answer.
async fn busy_entries(node: &Arc<EntryNode>, cached: &CachedInstance) -> Vec<String> {
    let mut busy = Vec::new();
    if node.schedulers.running_on(&cached.record.name) > 0 {
        busy.push(node.stamp.name.to_string());
    }
    let mut polls = tokio::task::JoinSet::new();
    for stamp in expected_entries(node)
        .into_iter()
        .filter(|stamp| *stamp != node.stamp)
    {
        let node = Arc::clone(node);
        let call = PeerCall::DrainCheck {
            record: cached.record.clone(),
            version: cached.version,
        };
        polls.spawn(async move {
            let reply = peers::call(&node, &stamp.name, call, DRAIN_CHECK_TIMEOUT).await;
            let idle = matches!(reply, Some(PeerReply::Drained { running: 0 }));
            (!idle).then(|| stamp.name.to_string())
        });
    }
    while let Some(answer) = polls.join_next().await {
        busy.extend(answer.ok().flatten());
    }
    busy
}

/// Reboots an idle instance for maintenance, waits until it is back, and resumes it.
pub(super) async fn stop_and_return(
    node: &Arc<EntryNode>,
    cached: &CachedInstance,
    holder: &WaveName,
) {
    let name = &cached.record.name;
    let boot_count = node.fleet.boot_count(name);
    let stopped = retry_transient(|| async {
        change_instance(node, name, |record| match record.state {
            ServiceState::Stopped => Ok(()),
            _ => record.stop(boot_count),
        })
        .await
    })
    .await;
    if stopped.is_none() {
        // The record changed meanwhile, so this wave must not stop the instance.
        return;
    }
    let boot_count = node
        .fleet
        .instance(name)
        .map_or(boot_count, |cached| cached.record.boot_count_at_stop);
    let ticket = format!("{holder}.{boot_count}");
    retry_transient(|| async {
        let reboot = node.platform.reboot(name.as_str(), &ticket).await;
        reboot.map_err(|fault| Refusal::unknown(ResultCode::StoreDown, fault.to_string()))
    })
    .await;
    while node.fleet.boot_count(name) <= boot_count || node.fleet.is_stopped(name) {
        tokio::time::sleep(IDLE_POLL_PAUSE_INITIAL).await;
    }
    retry_transient(|| async {
        change_instance(node, name, |record| {
            record.resume();
            Ok(())
        })
        .await
    })
    .await;
}

/// Retries a step while the store or the platform is unavailable.
///
/// Returns `None` if the step is refused for another reason.
pub(super) async fn retry_transient<T, F>(operation: impl Fn() -> F) -> Option<T>
where
    F: Future<Output = Result<T, Refusal>>,
{
    loop {
        match operation().await {
            Ok(done) => return Some(done),
            Err(refusal) if is_transient(&refusal) => {
                tokio::time::sleep(RETRY_PAUSE.mul_f64(0.5 + rand::random::<f64>())).await;
            }
            Err(refusal) => {
                log_event!(Warn, "step-refused", error = refusal);
                return None;
            }
        }
    }
}

/// Whether a step may succeed when it is retried after this refusal.
fn is_transient(refusal: &Refusal) -> bool {
    matches!(
        refusal.code,
        ResultCode::StoreDown | ResultCode::StoreUnsure | ResultCode::StoreConflict
    )
}
