//! The steps of taking one instance out: token, mark, confirmation, stop, return.

use {
    super::pool_out::pool_out,
    crate::{
        dispatch::instance_quiet,
        fleet::{KnownInstance, refresh_seats},
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

/// Longest wait for a peer's confirmation.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(800);
/// First and longest pause between askings whether an instance is quiet; it doubles.
const ASK_PAUSE: Duration = Duration::from_millis(50);
const ASK_PAUSE_LONGEST: Duration = Duration::from_millis(400);
/// Pause between tries of a step that the store or the platform did not take.
const STEP_PAUSE: Duration = Duration::from_millis(300);
/// How often a wait for the same entry is logged, in askings.
const LOG_EVERY: u32 = 10;

/// Takes leave from the pool's budget to drain an instance.
pub(super) async fn take_token(
    node: &EntryNode,
    pool: &PoolName,
    instance: &InstanceName,
    holder: &WaveName,
) -> Result<(), Refusal> {
    let row = node.table().pool(pool)?.clone();
    let out = pool_out(node, &row);
    node.store
        .update(&format!("pool/{pool}"), |ledger: Option<PoolLedger>| {
            let mut ledger = ledger.unwrap_or_default();
            ledger.begin_drain(instance, holder, &out.members, out.missing, row.max_out)?;
            Ok(UpdateDecision::Write(ledger, ()))
        })
        .await
}

/// Whether the leave to keep an instance out is this holder's.
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

/// Gives the leave back, however long the store is away.
pub(super) async fn return_token(
    node: &EntryNode,
    pool: &PoolName,
    instance: &InstanceName,
    holder: &WaveName,
) {
    insist(|| async {
        node.store
            .update(&format!("pool/{pool}"), |ledger: Option<PoolLedger>| {
                let mut ledger = ledger.unwrap_or_default();
                ledger.end_drain(instance, holder);
                Ok(UpdateDecision::Write(ledger, ()))
            })
            .await
    })
    .await;
}

/// Changes an instance's record and takes the change over here at once.
pub(super) async fn change_instance(
    node: &Arc<EntryNode>,
    instance: &InstanceName,
    change: impl Fn(&mut InstanceRecord) -> Result<(), Refusal>,
) -> Result<KnownInstance, Refusal> {
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
    let known = node
        .store
        .get::<InstanceRecord>(&key)
        .await?
        .ok_or_else(unknown)?;
    node.fleet.learn(known.version, known.value.clone());
    refresh_seats(node);
    Ok(KnownInstance {
        version: known.version,
        record: known.value,
    })
}

/// Marks an instance as draining; one that is draining already stays so.
pub(super) async fn mark_draining(
    node: &Arc<EntryNode>,
    instance: &InstanceName,
) -> Result<KnownInstance, Refusal> {
    change_instance(node, instance, |record| match record.state {
        ServiceState::Draining => Ok(()),
        _ => record.begin_drain(),
    })
    .await
}

/// Waits until every entry that may still act says that it sends the instance nothing
/// and has nothing running there, and the instance says the same.
pub(super) async fn await_quiet(node: &Arc<EntryNode>, known: &KnownInstance) {
    let mut pause = ASK_PAUSE;
    for asked in 0_u32.. {
        let busy = busy_entries(node, known).await;
        let quiet = busy.is_empty()
            && (node.fleet.is_stopped(&known.record.name)
                || instance_quiet(node, &known.record.address).await);
        if quiet {
            return;
        }
        if asked % LOG_EVERY == LOG_EVERY - 1 {
            log_event!(
                Info,
                "drain-waits",
                instance = known.record.name,
                entries = busy.join(",")
            );
        }
        tokio::time::sleep(pause).await;
        pause = ASK_PAUSE_LONGEST.min(pause * 2);
    }
}

/// The entries that have something running on the instance, or can't be asked.
async fn busy_entries(node: &Arc<EntryNode>, known: &KnownInstance) -> Vec<String> {
    let mut busy = Vec::new();
    if node.desks.running_on(&known.record.name) > 0 {
        busy.push(node.stamp.name.to_string());
    }
    let mut asked = tokio::task::JoinSet::new();
    for stamp in expected_entries(node)
        .into_iter()
        .filter(|stamp| *stamp != node.stamp)
    {
        let node = Arc::clone(node);
        let call = PeerCall::DrainCheck {
            record: known.record.clone(),
            version: known.version,
        };
        asked.spawn(async move {
            let reply = peers::call(&node, &stamp.name, call, CONFIRM_TIMEOUT).await;
            let quiet = matches!(reply, Some(PeerReply::Drained { running: 0 }));
            (!quiet).then(|| stamp.name.to_string())
        });
    }
    while let Some(answer) = asked.join_next().await {
        busy.extend(answer.ok().flatten());
    }
    busy
}

/// Stops a quiet instance for maintenance, waits for its return and puts it into service.
pub(super) async fn stop_and_return(
    node: &Arc<EntryNode>,
    known: &KnownInstance,
    holder: &WaveName,
) {
    let name = &known.record.name;
    let boot_count = node.fleet.boot_count(name);
    let stopped = insist(|| async {
        change_instance(node, name, |record| match record.state {
            ServiceState::Stopped => Ok(()),
            _ => record.stop(boot_count),
        })
        .await
    })
    .await;
    if stopped.is_none() {
        // Its record says something else by now: it is not ours to stop.
        return;
    }
    let boot_count = node
        .fleet
        .instance(name)
        .map_or(boot_count, |known| known.record.boot_count_at_stop);
    let ticket = format!("{holder}.{boot_count}");
    insist(|| async {
        let reboot = node.platform.reboot(name.as_str(), &ticket).await;
        reboot.map_err(|fault| Refusal::unknown(ResultCode::StoreDown, fault.to_string()))
    })
    .await;
    while node.fleet.boot_count(name) <= boot_count || node.fleet.is_stopped(name) {
        tokio::time::sleep(ASK_PAUSE).await;
    }
    insist(|| async {
        change_instance(node, name, |record| {
            record.resume();
            Ok(())
        })
        .await
    })
    .await;
}

/// Tries a step until it is taken, while the store or the platform is away.
pub(super) async fn insist<T, F>(step: impl Fn() -> F) -> Option<T>
where
    F: Future<Output = Result<T, Refusal>>,
{
    loop {
        match step().await {
            Ok(done) => return Some(done),
            Err(refusal) if is_passing(&refusal) => {
                tokio::time::sleep(STEP_PAUSE.mul_f64(0.5 + rand::random::<f64>())).await;
            }
            Err(refusal) => {
                log_event!(Warn, "step-refused", error = refusal);
                return None;
            }
        }
    }
}

/// Whether a refusal passes when the platform is back.
fn is_passing(refusal: &Refusal) -> bool {
    matches!(
        refusal.code,
        ResultCode::StoreDown | ResultCode::StoreUnsure | ResultCode::StoreConflict
    )
}
