//! Taking over what an entry left behind that the platform's list says is gone.

use {
    crate::{dispatch::running_for, jobs, node::EntryNode, permits, waves},
    dotterelshore_domain::{
        codes::{Refusal, ResultCode},
        collections::FastSet,
        names::EntryStamp,
    },
    dotterelshore_wire::{log_event, platform_message::InstanceLiveness},
    std::{sync::Arc, time::Duration},
};

/// How often the list is looked through for entries that are gone.
const LOOK_PERIOD: Duration = Duration::from_millis(700);
/// Spread of the first look, so that not every entry asks every target at once.
const SPREAD: Duration = Duration::from_millis(400);

/// Starts the task that takes over from entries that are gone.
pub(crate) fn start(node: &Arc<EntryNode>) {
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let mut interval = node.timer.interval(LOOK_PERIOD);
        let mut settled = FastSet::default();
        loop {
            interval.tick().await;
            for gone in gone_entries(&node) {
                if settled.contains(&gone) {
                    continue;
                }
                tokio::time::sleep(SPREAD.mul_f64(rand::random::<f64>())).await;
                match take_over(&node, &gone).await {
                    Ok(()) => {
                        settled.insert(gone);
                    }
                    Err(refusal) => {
                        log_event!(Debug, "takeover-waits", gone = gone, error = refusal);
                    }
                }
            }
        }
    });
}

fn gone_entries(node: &EntryNode) -> Vec<EntryStamp> {
    let entries = node
        .fleet
        .entries()
        .into_iter()
        .filter(|(_, life)| *life == InstanceLiveness::Gone);
    entries
        .map(|(stamp, _)| stamp)
        .filter(|stamp| *stamp != node.stamp)
        .collect()
}

async fn take_over(node: &Arc<EntryNode>, gone: &EntryStamp) -> Result<(), Refusal> {
    let jobs = jobs::adopt_from(node, gone).await?;
    let waves = waves::adopt_from(node, gone).await?;
    check_work_ended(node, gone).await?;
    let permits = permits::reclaim(node, gone).await?;
    log_event!(
        Info,
        "entry-taken-over",
        gone = gone,
        jobs = jobs,
        waves = waves,
        permits = permits
    );
    Ok(())
}

/// Every target's word that nothing of the gone entry runs there any more. A target that
/// is stopped runs nothing.
async fn check_work_ended(node: &EntryNode, gone: &EntryStamp) -> Result<(), Refusal> {
    for known in node.fleet.instances() {
        if node.fleet.is_stopped(&known.record.name) {
            continue;
        }
        match running_for(node, &known.record.address, gone).await {
            Ok(0) => {}
            Ok(running) => {
                let detail = format!("{running} runs go on at '{}'", known.record.name);
                return Err(Refusal::not_run(ResultCode::InstanceBusy, detail));
            }
            Err(fault) => {
                let detail = format!(
                    "'{}' does not say what runs there: {fault}",
                    known.record.name
                );
                return Err(Refusal::not_run(ResultCode::NoTarget, detail));
            }
        }
    }
    Ok(())
}
