//! Waves: started and run by one entry, and adopted by another when that entry is removed.

use {
    super::{
        drain_steps::{acquire_token, await_idle, mark_draining, release_token, stop_and_return},
        pool_shortfall::{in_service, pool_shortfall},
    },
    crate::node::EntryNode,
    dotterelshore_domain::{
        codes::{Refusal, ResultCode},
        collections::FastSet,
        fleet::{PoolLedger, ServiceState},
        names::{EntryStamp, InstanceName, WaveName},
        wave::{WaveRecord, WaveStatus, WaveView},
    },
    dotterelshore_wire::{
        event_log::unix_millis, log_event, operator_message::WaveRequest,
        store_client::UpdateDecision,
    },
    std::{sync::Arc, time::Duration},
    tokio::task::JoinSet,
};

/// Interval at which a wave checks for instances that can be maintained next.
const POLL_PERIOD: Duration = Duration::from_millis(100);

fn wave_key(wave: &WaveName) -> String {
    format!("wave/{wave}")
}

/// Records a new wave through a pool, and runs it in this entry.
///
/// # Errors
///
/// Refuses if the pool is unknown or has no instances, or if the name is already in use.
pub(crate) async fn start_wave(
    node: &Arc<EntryNode>,
    request: WaveRequest,
) -> Result<WaveRecord, Refusal> {
    node.table().pool(&request.pool)?;
    let members: Vec<InstanceName> = node
        .fleet
        .records_of(&request.pool)
        .into_iter()
        .map(|record| record.name)
        .collect();
    if members.is_empty() {
        let detail = format!("pool '{}' has no instances to maintain", request.pool);
        return Err(Refusal::not_run(ResultCode::NoTarget, detail));
    }
    let record = WaveRecord {
        name: request.name,
        pool: request.pool,
        plan: request.plan,
        status: WaveStatus::Running,
        owner: node.stamp.clone(),
        members,
        done: Vec::new(),
        started_at_ms: unix_millis(),
        done_at_ms: None,
    };
    node.store
        .update(&wave_key(&record.name), |existing: Option<WaveRecord>| {
            if existing.is_none() {
                Ok(UpdateDecision::Write(record.clone(), ()))
            } else {
                let detail = format!("choose another name than '{}'", record.name);
                Err(Refusal::not_run(ResultCode::WaveExists, detail))
            }
        })
        .await?;
    log_event!(
        Info,
        "wave-started",
        wave = record.name,
        pool = record.pool,
        instances = record.members.len()
    );
    tokio::spawn(run_wave(Arc::clone(node), record.clone()));
    Ok(record)
}

/// Returns every recorded wave.
///
/// # Errors
///
/// Fails if the store can't be read.
pub(crate) async fn list_waves(node: &EntryNode) -> Result<Vec<WaveRecord>, Refusal> {
    let list = node.store.list::<WaveRecord>("wave/").await?;
    Ok(list
        .records
        .into_iter()
        .filter_map(|(_, wave)| Some(wave?.value))
        .collect())
}

/// Pauses or resumes a wave; a wave that is done stays done.
///
/// # Errors
///
/// Refuses with [`ResultCode::UnknownWave`] if no such wave is recorded.
pub(crate) async fn set_status(
    node: &EntryNode,
    wave: &WaveName,
    status: WaveStatus,
) -> Result<WaveRecord, Refusal> {
    let unknown = || {
        Refusal::not_run(
            ResultCode::UnknownWave,
            format!("no wave '{wave}' is recorded"),
        )
    };
    node.store
        .update(&wave_key(wave), |record: Option<WaveRecord>| {
            let mut record = record.ok_or_else(unknown)?;
            if record.status != WaveStatus::Done {
                record.status = status;
            }
            Ok(UpdateDecision::Write(record.clone(), record))
        })
        .await
}

/// Adopts the unfinished waves of a removed entry, and returns their number.
///
/// # Errors
///
/// Fails if the store can't be read or written. Waves that another entry adopts first are
/// skipped.
pub(crate) async fn adopt_waves_of(
    node: &Arc<EntryNode>,
    removed: &EntryStamp,
) -> Result<u32, Refusal> {
    let mut adopted = 0;
    for wave in list_waves(node).await? {
        if wave.owner != *removed || wave.status == WaveStatus::Done {
            continue;
        }
        let updated = node
            .store
            .update(&wave_key(&wave.name), |record: Option<WaveRecord>| {
                let Some(mut record) = record.filter(|record| record.owner == *removed) else {
                    return Err(Refusal::not_run(
                        ResultCode::StoreConflict,
                        "another entry adopted it",
                    ));
                };
                record.owner = node.stamp.clone();
                Ok(UpdateDecision::Write(record.clone(), record))
            })
            .await;
        match updated {
            Ok(record) => {
                adopted += 1;
                log_event!(Info, "wave-adopted", wave = record.name, from = removed);
                tokio::spawn(run_wave(Arc::clone(node), record));
            }
            Err(refusal) if refusal.code == ResultCode::StoreConflict => {}
            Err(refusal) => return Err(refusal),
        }
    }
    Ok(adopted)
}

/// Runs a wave until it is done or this entry is no longer its owner.
async fn run_wave(node: Arc<EntryNode>, mut wave: WaveRecord) {
    let mut tasks = JoinSet::new();
    let mut in_progress = FastSet::default();
    resume_in_progress(&node, &wave, &mut tasks, &mut in_progress).await;
    let mut interval = node.timer.interval(POLL_PERIOD);
    while wave.status != WaveStatus::Done && wave.owner == node.stamp {
        if wave.status == WaveStatus::Running && !node.is_shutting_down() {
            for instance in next_instances(&node, &wave, &in_progress) {
                let token = acquire_token(&node, &wave.pool, &instance, &wave.name).await;
                if token.is_ok() {
                    in_progress.insert(instance.clone());
                    tasks.spawn(maintain(Arc::clone(&node), wave.clone(), instance));
                }
            }
        }
        interval.tick().await;
        while let Some(finished) = tasks.try_join_next() {
            if let Ok(instance) = finished {
                in_progress.remove(&instance);
            }
        }
        if let Ok(Some(reloaded)) = node.store.get::<WaveRecord>(&wave_key(&wave.name)).await {
            wave = reloaded.value;
        }
    }
    // The last instance is recorded as done before its token is returned, so the wave may be
    // done while the tasks still return tokens.
    while tasks.join_next().await.is_some() {}
    log_event!(
        Info,
        "wave-ended",
        wave = wave.name,
        done = wave.done.len(),
        status = format!("{:?}", wave.status)
    );
}

/// Resumes the instances that an earlier owner left in progress: those with this wave's token.
async fn resume_in_progress(
    node: &Arc<EntryNode>,
    wave: &WaveRecord,
    tasks: &mut JoinSet<InstanceName>,
    in_progress: &mut FastSet<InstanceName>,
) {
    let ledger = super::drain_steps::retry_transient(|| async {
        Ok(node
            .store
            .get::<PoolLedger>(&format!("pool/{}", wave.pool))
            .await?)
    });
    let ledger = ledger
        .await
        .flatten()
        .map(|ledger| ledger.value)
        .unwrap_or_default();
    for instance in ledger.instances_held_by(&wave.name) {
        in_progress.insert(instance.clone());
        tasks.spawn(maintain(Arc::clone(node), wave.clone(), instance));
    }
}

fn next_instances(
    node: &EntryNode,
    wave: &WaveRecord,
    in_progress: &FastSet<InstanceName>,
) -> Vec<InstanceName> {
    let Ok(row) = node.table().pool(&wave.pool).cloned() else {
        return Vec::new();
    };
    let shortfall = pool_shortfall(node, &row);
    let remaining: FastSet<&InstanceName> = wave.remaining().collect();
    let ready = in_service(node, &wave.pool);
    let ready = ready
        .iter()
        .filter(|record| remaining.contains(&record.name) && !in_progress.contains(&record.name));
    let mut unavailable: FastSet<&InstanceName> = shortfall.unavailable.iter().collect();
    unavailable.extend(in_progress);
    let out = u32::try_from(unavailable.len())
        .unwrap_or(u32::MAX)
        .saturating_add(shortfall.missing);
    wave.plan.next(&WaveView {
        ready: ready.collect(),
        out,
        max_out: row.max_out,
    })
}

/// Maintains one instance whose token is already taken, and returns its name.
async fn maintain(node: Arc<EntryNode>, wave: WaveRecord, instance: InstanceName) -> InstanceName {
    let cached = super::drain_steps::retry_transient(|| async {
        match mark_draining(&node, &instance).await {
            Err(refusal) if refusal.code == ResultCode::InstanceBusy => {
                stopped_instance(&node, &instance, refusal)
            }
            marked => marked,
        }
    });
    if let Some(cached) = cached.await {
        if cached.record.state == ServiceState::Draining {
            await_idle(&node, &cached).await;
        }
        stop_and_return(&node, &cached, &wave.name).await;
        mark_done(&node, &wave, &instance).await;
    }
    release_token(&node, &wave.pool, &instance, &wave.name).await;
    instance
}

/// Returns an instance that an earlier owner of the wave had already stopped, or the refusal.
fn stopped_instance(
    node: &EntryNode,
    instance: &InstanceName,
    refusal: Refusal,
) -> Result<crate::fleet::CachedInstance, Refusal> {
    let cached = node
        .fleet
        .instance(instance)
        .filter(|cached| cached.record.state == ServiceState::Stopped);
    cached.ok_or(refusal)
}

async fn mark_done(node: &EntryNode, wave: &WaveRecord, instance: &InstanceName) {
    let recorded = super::drain_steps::retry_transient(|| async {
        node.store
            .update(&wave_key(&wave.name), |record: Option<WaveRecord>| {
                let mut record = record.unwrap_or_else(|| wave.clone());
                record.mark_done(instance, unix_millis());
                Ok(UpdateDecision::Write(record.clone(), record.done.len()))
            })
            .await
    });
    let done = recorded.await.unwrap_or_default();
    log_event!(
        Info,
        "wave-progress",
        wave = wave.name,
        instance = instance,
        done = done,
        of = wave.members.len()
    );
}
