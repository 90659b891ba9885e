//! Following instance records and the platform's list.

use {
    super::fleet_view::FleetView,
    crate::{
        dispatch::{TargetSeat, start as start_demand},
        node::EntryNode,
    },
    dotterelshore_domain::{fleet::InstanceRecord, table::PoolRow},
    dotterelshore_wire::{log_event, store_client::RecordList, timer_hub::jittered_pause},
    std::{sync::Arc, time::Duration},
};

/// How long one watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// First and longest pause after a watch failed.
const PAUSE_FIRST: Duration = Duration::from_millis(100);
const PAUSE_LONGEST: Duration = Duration::from_secs(2);

/// Starts the tasks that follow the fleet.
pub(crate) fn start(node: &Arc<EntryNode>) {
    tokio::spawn(follow_records(Arc::clone(node)));
    tokio::spawn(follow_lives(Arc::clone(node)));
    tokio::spawn(follow_table(Arc::clone(node)));
    start_demand(node);
}

async fn follow_records(node: Arc<EntryNode>) {
    let mut after = 0;
    let mut pause = PAUSE_FIRST;
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
                pause = PAUSE_FIRST;
                learn_records(&node, list);
            }
            Err(fault) => {
                log_event!(Debug, "instance-watch-failed", error = fault);
                pause = pause_and_double(pause).await;
            }
        }
    }
}

fn learn_records(node: &Arc<EntryNode>, list: RecordList<InstanceRecord>) {
    for fault in &list.unreadable {
        log_event!(Error, "record-unreadable", error = fault);
    }
    let mut changed = false;
    for known in list.records.into_iter().filter_map(|(_, known)| known) {
        changed |= node.fleet.learn(known.version, known.value);
    }
    if changed {
        refresh_seats(node);
    }
}

async fn follow_lives(node: Arc<EntryNode>) {
    let mut after = 0;
    let mut pause = PAUSE_FIRST;
    loop {
        match node.platform.instances_after(after, WATCH_WAIT).await {
            Ok(list) => {
                after = list.revision;
                pause = PAUSE_FIRST;
                if !list.instances.is_empty() {
                    node.fleet.learn_lives(list.instances);
                    refresh_seats(&node);
                }
            }
            Err(fault) => {
                log_event!(Debug, "list-watch-failed", error = fault);
                pause = pause_and_double(pause).await;
            }
        }
    }
}

async fn follow_table(node: Arc<EntryNode>) {
    let mut tables = node.tables.subscribe();
    while tables.changed().await.is_ok() {
        refresh_seats(&node);
    }
}

/// Brings every desk's targets up to what is known of the fleet.
pub(crate) fn refresh_seats(node: &Arc<EntryNode>) {
    let table = node.table();
    let records: Vec<InstanceRecord> = node
        .fleet
        .instances()
        .into_iter()
        .map(|known| known.record)
        .collect();
    for pool in table.pools.values() {
        let seats = seats_of(&node.fleet, pool, &records);
        node.desks
            .set_seats(&pool.name, pool.kind, seats, pool.max_out.max(1) as usize);
    }
    crate::dispatch::pump_all(node);
}

fn seats_of(fleet: &FleetView, pool: &PoolRow, records: &[InstanceRecord]) -> Vec<TargetSeat> {
    let members = records
        .iter()
        .filter(|record| record.pool == pool.name && record.kind == pool.kind);
    let open = members.filter(|record| fleet.takes_work(record));
    let seats = open.map(|record| TargetSeat {
        name: record.name.clone(),
        centre: record.centre.clone(),
        address: record.address.clone(),
    });
    seats.collect()
}

/// Sleeps a random part of the pause, and returns the next one.
pub(crate) async fn pause_and_double(pause: Duration) -> Duration {
    tokio::time::sleep(jittered_pause(pause)).await;
    PAUSE_LONGEST.min(pause * 2)
}
