//! Takeover of jobs, waves and permits from entries that the platform lists as removed.

use {
    crate::{dispatch::running_for_entry, jobs, node::EntryNode, permits, waves},
    dotterelshore_domain::{
        codes::{Refusal, ResultCode},
        collections::FastSet,
        names::EntryStamp,
    },
    dotterelshore_wire::{log_event, platform_message::InstanceLiveness},
    std::{sync::Arc, time::Duration},
};

/// Interval between checks of the platform's list for removed entries.
const POLL_PERIOD: Duration = Duration::from_millis(700);
/// Largest random delay of a takeover, so that the entries do not query all targets at once.
const TAKEOVER_JITTER_MAX: Duration = Duration::from_millis(400);

/// Starts the task that takes over from removed entries.
pub(crate) fn start(node: &Arc<EntryNode>) {
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let mut interval = node.timer.interval(POLL_PERIOD);
        let mut completed = FastSet::default();
        loop {
            interval.tick().await;
            for removed in removed_entries(&node) {
                if completed.contains(&removed) {
                    continue;
                }
                tokio::time::sleep(TAKEOVER_JITTER_MAX.mul_f64(rand::random::<f64>())).await;
                match take_over(&node, &removed).await {
                    Ok(()) => {
                        completed.insert(removed);
                    }
                    Err(refusal) => {
                        log_event!(Debug, "takeover-waits", gone = removed, error = refusal);
                    }
                }
            }
        }
    });
}

fn removed_entries(node: &EntryNode) -> Vec<EntryStamp> {
    let entries = node
        .fleet
        .entries()
        .into_iter()
        .filter(|(_, liveness)| *liveness == InstanceLiveness::Gone);
    entries
        .map(|(stamp, _)| stamp)
        .filter(|stamp| *stamp != node.stamp)
        .collect()
}

async fn take_over(node: &Arc<EntryNode>, removed: &EntryStamp) -> Result<(), Refusal> {
    let jobs = jobs::adopt_jobs_of(node, removed).await?;
    let waves = waves::adopt_waves_of(node, removed).await?;
    check_work_ended(node, removed).await?;
    let permits = permits::reclaim(node, removed).await?;
    log_event!(
        Info,
        "entry-taken-over",
        gone = removed,
        jobs = jobs,
        waves = waves,
        permits = permits
    );
    Ok(())
}

/// Checks that no target still executes runs of a removed entry.
///
/// Targets listed as stopped execute nothing and are not queried.
///
/// # Errors
///
/// Refuses if a target still has such runs or does not answer.
async fn check_work_ended(node: &EntryNode, removed: &EntryStamp) -> Result<(), Refusal> {
    for cached in node.fleet.instances() {
        if node.fleet.is_stopped(&cached.record.name) {
            continue;
        }
        match running_for_entry(node, &cached.record.address, removed).await {
            Ok(0) => {}
            Ok(running) => {
                let detail = format!("{running} runs go on at '{}'", cached.record.name);
                return Err(Refusal::not_run(ResultCode::InstanceBusy, detail));
            }
            Err(fault) => {
                let detail = format!(
                    "'{}' does not say what runs there: {fault}",
                    cached.record.name
                );
                return Err(Refusal::not_run(ResultCode::NoTarget, detail));
            }
        }
    }
    Ok(())
}
