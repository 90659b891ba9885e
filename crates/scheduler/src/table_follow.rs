//! Following what operators write.

use {
    crate::{
        node::SchedulerNode,
        store::{AfterFault, FollowStep, follow},
    },
    dotterelshore_platform::{
        CONFIG_KEY, KeyRow, OPERATOR_PREFIX, WAVE_PREFIX, WatchEvent, decode_table, decode_wave,
    },
    dotterelshore_wire::log_event,
    std::sync::Arc,
};

/// Starts the task that follows the operators' rows and orders.
pub(crate) fn start(node: &Arc<SchedulerNode>) {
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let taking = Arc::clone(&node);
        follow(
            &node,
            OPERATOR_PREFIX,
            AfterFault::ReadAnew,
            None,
            move |step| match step {
                FollowStep::Whole(rows) => rows.iter().for_each(|row| take_row(&taking, row)),
                FollowStep::Change(WatchEvent::Written(row)) => take_row(&taking, &row),
                FollowStep::Change(WatchEvent::Removed { key, revision }) => {
                    log_event!(Info, "operator-key-removed", key = key, revision = revision);
                }
            },
        )
        .await;
    });
}

fn take_row(node: &SchedulerNode, row: &KeyRow) {
    if row.key == CONFIG_KEY {
        take_table(node, row);
    } else if row.key.starts_with(WAVE_PREFIX) {
        take_wave(node, row);
    }
}

fn take_table(node: &SchedulerNode, row: &KeyRow) {
    let table = match decode_table(&row.value) {
        Ok(table) => table,
        Err(error) => {
            log_event!(
                Warn,
                "config-unreadable",
                revision = row.revision,
                error = error
            );
            return;
        }
    };
    let known = node.table_now().map(|table| table.version);
    if known.is_some_and(|known| known >= table.version) {
        return;
    }
    log_event!(
        Info,
        "config-in-force",
        version = table.version,
        before = known.unwrap_or_default(),
        queues = table.queues.len()
    );
    if let Some(leadership) = node.leadership() {
        leadership.set_table(&table);
    }
    node.table.send_replace(Some(Arc::new(table)));
}

fn take_wave(node: &SchedulerNode, row: &KeyRow) {
    match decode_wave(&row.value) {
        Ok(order) => {
            node.waves.send_if_modified(|waves| {
                if waves.contains(&order) {
                    return false;
                }
                log_event!(
                    Info,
                    "wave-ordered",
                    wave = order.number,
                    instances = order.instances.len(),
                    at_once = order.at_once,
                    duration_ms = order.duration_ms
                );
                waves.retain(|known| known.number != order.number);
                waves.push(order);
                true
            });
        }
        Err(error) => {
            log_event!(Warn, "wave-unreadable", key = row.key, error = error);
        }
    }
}
