//! Tasks that watch the instance records and the platform's list.

use {
    super::fleet_view::FleetView,
    crate::{
        dispatch::{TargetEndpoint, start as start_demand},
        node::EntryNode,
    },
    dotterelshore_domain::{fleet::InstanceRecord, table::PoolRow},
    dotterelshore_wire::{log_event, store_client::RecordList, timer_hub::jittered_pause},
    std::{sync::Arc, time::Duration},
};

/// Longest wait of one watch call for a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Pause after a failed watch; it doubles from the initial to the maximum value.
const PAUSE_INITIAL: Duration = Duration::from_millis(100);
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// Starts the tasks that watch the fleet and report demand.
pub(crate) fn start(node: &Arc<EntryNode>) {
    tokio::spawn(follow_records(Arc::clone(node)));
    tokio::spawn(follow_listing(Arc::clone(node)));
    tokio::spawn(follow_table(Arc::clone(node)));
    start_demand(node);
}

async fn follow_records(node: Arc<EntryNode>) {
    let mut after = 0;
    let mut pause = PAUSE_INITIAL;
    loop {
        let read = if after == 0 {
            node.store.list::<InstanceRecord>("instance/").await
        } else {
            node.store
                .watch::<InstanceRecord>("instance/", after, WATCH_WAIT)
                .await
        };
        match read {
            Ok(list) => {
                after = list.revision.max(1);
                pause = PAUSE_INITIAL;
                apply_records(&node, list);
            }
            Err(fault) => {
                log_event!(Debug, "instance-watch-failed", error = fault);
                pause = sleep_and_double(pause).await;
            }
        }
    }
}

fn apply_records(node: &Arc<EntryNode>, list: RecordList<InstanceRecord>) {
    for fault in &list.unreadable {
        log_event!(Error, "record-unreadable", error = fault);
    }
    let mut changed = false;
    for cached in list.records.into_iter().filter_map(|(_, cached)| cached) {
        changed |= node.fleet.apply_record(cached.version, cached.value);
    }
    if changed {
        refresh_targets(node);
    }
}

async fn follow_listing(node: Arc<EntryNode>) {
    let mut after = 0;
    let mut pause = PAUSE_INITIAL;
    loop {
        match node.platform.instances_after(after, WATCH_WAIT).await {
            Ok(list) => {
                after = list.revision;
                pause = PAUSE_INITIAL;
                if !list.instances.is_empty() {
                    node.fleet.apply_listing(list.instances);
                    refresh_targets(&node);
                }
            }
            Err(fault) => {
                log_event!(Debug, "list-watch-failed", error = fault);
                pause = sleep_and_double(pause).await;
            }
        }
    }
}

async fn follow_table(node: Arc<EntryNode>) {
    let mut tables = node.tables.subscribe();
    while tables.changed().await.is_ok() {
        refresh_targets(&node);
    }
}

/// Updates the targets of every scheduler from the fleet view, and grants free slots.
pub(crate) fn refresh_targets(node: &Arc<EntryNode>) {
    let table = node.table();
    let records: Vec<InstanceRecord> = node
        .fleet
        .instances()
        .into_iter()
        .map(|cached| cached.record)
        .collect();
    for pool in table.pools.values() {
        let endpoints = endpoints_of(&node.fleet, pool, &records);
        node.schedulers.set_targets(
            &pool.name,
            pool.kind,
            endpoints,
            pool.max_out.max(1) as usize,
        );
    }
    crate::dispatch::grant_all_slots(node);
}

fn endpoints_of(
    fleet: &FleetView,
    pool: &PoolRow,
    records: &[InstanceRecord],
) -> Vec<TargetEndpoint> {
    let pool_records = records
        .iter()
        .filter(|record| record.pool == pool.name && record.kind == pool.kind);
    let accepting = pool_records.filter(|record| fleet.accepts_work(record));
    let endpoints = accepting.map(|record| TargetEndpoint {
        name: record.name.clone(),
        centre: record.centre.clone(),
        address: record.address.clone(),
    });
    endpoints.collect()
}

/// Sleeps for a randomised pause, and returns the doubled pause for the next failure.
pub(crate) async fn sleep_and_double(pause: Duration) -> Duration {
    tokio::time::sleep(jittered_pause(pause)).await;
    PAUSE_MAX.min(pause * 2)
}
