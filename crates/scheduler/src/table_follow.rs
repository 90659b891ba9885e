//! Follows the configuration and the waves that operators write.

use {
    crate::{
        node::SchedulerNode,
        store::{PrefixUpdate, ResumeMode, follow_prefix},
    },
    dotterelshore_platform::{
        CONFIG_KEY, KvRow, OPERATOR_PREFIX, WAVE_PREFIX, WatchEvent, decode_table, decode_wave,
    },
    dotterelshore_wire::log_event,
    std::sync::Arc,
};

/// Starts the task that follows the operators' keys.
pub(crate) fn start(node: &Arc<SchedulerNode>) {
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let shared = Arc::clone(&node);
        follow_prefix(
            &node,
            OPERATOR_PREFIX,
            ResumeMode::Reread,
            None,
            move |update| match update {
                PrefixUpdate::Snapshot(page) => {
                    page.rows.iter().for_each(|row| apply_row(&shared, row));
                }
                PrefixUpdate::Change(WatchEvent::Written(row)) => apply_row(&shared, &row),
                PrefixUpdate::Change(WatchEvent::Removed { key, revision }) => {
                    log_event!(Info, "operator-key-removed", key = key, revision = revision);
                }
            },
        )
        .await;
    });
}

fn apply_row(node: &SchedulerNode, row: &KvRow) {
    if row.key == CONFIG_KEY {
        apply_table(node, row);
    } else if row.key.starts_with(WAVE_PREFIX) {
        apply_wave(node, row);
    }
}

/// Puts a configuration in force if it is newer than the current one.
fn apply_table(node: &SchedulerNode, row: &KvRow) {
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
    let current = node.current_table().map(|table| table.version);
    if current.is_some_and(|current| current >= table.version) {
        return;
    }
    log_event!(
        Info,
        "config-in-force",
        version = table.version,
        before = current.unwrap_or_default(),
        queues = table.queues.len()
    );
    if let Some(leadership) = node.leadership() {
        leadership.set_table(&table);
    }
    node.table.send_replace(Some(Arc::new(table)));
}

/// Adds a wave, or replaces the one with its number.
fn apply_wave(node: &SchedulerNode, row: &KvRow) {
    match decode_wave(&row.value) {
        Ok(spec) => {
            node.waves.send_if_modified(|waves| {
                if waves.contains(&spec) {
                    return false;
                }
                log_event!(
                    Info,
                    "wave-ordered",
                    wave = spec.number,
                    instances = spec.instances.len(),
                    at_once = spec.at_once,
                    duration_ms = spec.duration_ms
                );
                waves.retain(|known| known.number != spec.number);
                waves.push(spec);
                true
            });
        }
        Err(error) => {
            log_event!(Warn, "wave-unreadable", key = row.key, error = error);
        }
    }
}
