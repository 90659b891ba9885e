//! Waves: started, carried out by one entry, adopted when that entry is gone.

use {
    super::{
        drain_steps::{await_quiet, mark_draining, return_token, stop_and_return, take_token},
        pool_out::{in_service, pool_out},
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

/// How often a wave looks for what can go next.
const LOOK_PERIOD: Duration = Duration::from_millis(100);

fn wave_key(wave: &WaveName) -> String {
    format!("wave/{wave}")
}

/// Starts a wave through a pool; this entry carries it out.
pub(crate) async fn start_wave(
    node: &Arc<EntryNode>,
    form: WaveRequest,
) -> Result<WaveRecord, Refusal> {
    node.table().pool(&form.pool)?;
    let members: Vec<InstanceName> = node
        .fleet
        .members_of(&form.pool)
        .into_iter()
        .map(|record| record.name)
        .collect();
    if members.is_empty() {
        let detail = format!("pool '{}' has no instances to maintain", form.pool);
        return Err(Refusal::not_run(ResultCode::NoTarget, detail));
    }
    let record = WaveRecord {
        name: form.name,
        pool: form.pool,
        plan: form.plan,
        status: WaveStatus::Running,
        owner: node.stamp.clone(),
        members,
        done: Vec::new(),
        started_at_ms: unix_millis(),
        done_at_ms: None,
    };
    node.store
        .update(&wave_key(&record.name), |known: Option<WaveRecord>| {
            if known.is_none() {
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

/// Every wave that is recorded.
pub(crate) async fn list_waves(node: &EntryNode) -> Result<Vec<WaveRecord>, Refusal> {
    let list = node.store.list::<WaveRecord>("wave/").await?;
    Ok(list
        .records
        .into_iter()
        .filter_map(|(_, wave)| Some(wave?.value))
        .collect())
}

/// Pauses a wave or lets it go on.
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

/// Adopts the waves of an entry that is gone.
pub(crate) async fn adopt_from(node: &Arc<EntryNode>, gone: &EntryStamp) -> Result<u32, Refusal> {
    let mut adopted = 0;
    for wave in list_waves(node).await? {
        if wave.owner != *gone || wave.status == WaveStatus::Done {
            continue;
        }
        let taken = node
            .store
            .update(&wave_key(&wave.name), |record: Option<WaveRecord>| {
                let Some(mut record) = record.filter(|record| record.owner == *gone) else {
                    return Err(Refusal::not_run(
                        ResultCode::StoreConflict,
                        "another entry adopted it",
                    ));
                };
                record.owner = node.stamp.clone();
                Ok(UpdateDecision::Write(record.clone(), record))
            })
            .await;
        match taken {
            Ok(record) => {
                adopted += 1;
                log_event!(Info, "wave-adopted", wave = record.name, from = gone);
                tokio::spawn(run_wave(Arc::clone(node), record));
            }
            Err(refusal) if refusal.code == ResultCode::StoreConflict => {}
            Err(refusal) => return Err(refusal),
        }
    }
    Ok(adopted)
}

/// Carries a wave out until it is done or this entry is no longer its owner.
async fn run_wave(node: Arc<EntryNode>, mut wave: WaveRecord) {
    let mut open = JoinSet::new();
    let mut under_way = FastSet::default();
    take_up(&node, &wave, &mut open, &mut under_way).await;
    let mut interval = node.timer.interval(LOOK_PERIOD);
    while wave.status != WaveStatus::Done && wave.owner == node.stamp {
        if wave.status == WaveStatus::Running && !node.is_leaving() {
            for instance in next_instances(&node, &wave, &under_way) {
                let token = take_token(&node, &wave.pool, &instance, &wave.name).await;
                if token.is_ok() {
                    under_way.insert(instance.clone());
                    open.spawn(maintain(Arc::clone(&node), wave.clone(), instance));
                }
            }
        }
        interval.tick().await;
        while let Some(ended) = open.try_join_next() {
            if let Ok(instance) = ended {
                under_way.remove(&instance);
            }
        }
        if let Ok(Some(read)) = node.store.get::<WaveRecord>(&wave_key(&wave.name)).await {
            wave = read.value;
        }
    }
    // The last instance is noted as done before its token is given back.
    while open.join_next().await.is_some() {}
    log_event!(
        Info,
        "wave-ended",
        wave = wave.name,
        done = wave.done.len(),
        status = format!("{:?}", wave.status)
    );
}

/// Takes up what an earlier owner left under way: instances with this wave's token.
async fn take_up(
    node: &Arc<EntryNode>,
    wave: &WaveRecord,
    open: &mut JoinSet<InstanceName>,
    under_way: &mut FastSet<InstanceName>,
) {
    let ledger = super::drain_steps::insist(|| async {
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
        under_way.insert(instance.clone());
        open.spawn(maintain(Arc::clone(node), wave.clone(), instance));
    }
}

fn next_instances(
    node: &EntryNode,
    wave: &WaveRecord,
    under_way: &FastSet<InstanceName>,
) -> Vec<InstanceName> {
    let Ok(row) = node.table().pool(&wave.pool).cloned() else {
        return Vec::new();
    };
    let out = pool_out(node, &row);
    let left: FastSet<&InstanceName> = wave.remaining().collect();
    let ready = in_service(node, &wave.pool);
    let ready = ready
        .iter()
        .filter(|record| left.contains(&record.name) && !under_way.contains(&record.name));
    let mut unavailable: FastSet<&InstanceName> = out.members.iter().collect();
    unavailable.extend(under_way);
    let out = u32::try_from(unavailable.len())
        .unwrap_or(u32::MAX)
        .saturating_add(out.missing);
    wave.plan.next(&WaveView {
        ready: ready.collect(),
        out,
        max_out: row.max_out,
    })
}

/// Maintains one instance whose token is taken, and returns its name.
async fn maintain(node: Arc<EntryNode>, wave: WaveRecord, instance: InstanceName) -> InstanceName {
    let known = super::drain_steps::insist(|| async {
        match mark_draining(&node, &instance).await {
            Err(refusal) if refusal.code == ResultCode::InstanceBusy => {
                stopped_record(&node, &instance, refusal)
            }
            marked => marked,
        }
    });
    if let Some(known) = known.await {
        if known.record.state == ServiceState::Draining {
            await_quiet(&node, &known).await;
        }
        stop_and_return(&node, &known, &wave.name).await;
        mark_done(&node, &wave, &instance).await;
    }
    return_token(&node, &wave.pool, &instance, &wave.name).await;
    instance
}

/// An instance that an earlier owner of the wave had stopped already.
fn stopped_record(
    node: &EntryNode,
    instance: &InstanceName,
    refusal: Refusal,
) -> Result<crate::fleet::KnownInstance, Refusal> {
    let known = node
        .fleet
        .instance(instance)
        .filter(|known| known.record.state == ServiceState::Stopped);
    known.ok_or(refusal)
}

async fn mark_done(node: &EntryNode, wave: &WaveRecord, instance: &InstanceName) {
    let noted = super::drain_steps::insist(|| async {
        node.store
            .update(&wave_key(&wave.name), |record: Option<WaveRecord>| {
                let mut record = record.unwrap_or_else(|| wave.clone());
                record.mark_done(instance, unix_millis());
                Ok(UpdateDecision::Write(record.clone(), record.done.len()))
            })
            .await
    });
    let done = noted.await.unwrap_or_default();
    log_event!(
        Info,
        "wave-progress",
        wave = wave.name,
        instance = instance,
        done = done,
        of = wave.members.len()
    );
}
