//! What control costs a node, at several sizes of one thing at a time.

use {
    crate::deployment::{
        DeploymentFault, DeploymentOptions, DeploymentShape, ProcessUsage, RunningDeployment,
        ShapePool, ShapeTeam,
    },
    dotterelshore_domain::{
        names::{CentreName, InstanceName, PoolName, RackName, TeamName},
        table::{RowChange, TargetKind, WorkClass},
    },
    dotterelshore_wire::operator_message::NewInstance,
    serde::Serialize,
    std::time::Duration,
};

/// How long a node settles before it is measured, and how long it is measured.
const SETTLE: Duration = Duration::from_secs(4);
const MEASURE: Duration = Duration::from_secs(12);
/// Instances recorded with one call.
const INSTANCES_PER_CALL: usize = 200;
/// The longest a revision may take to be in force.
const FORCE_WAIT: Duration = Duration::from_secs(12);

/// One size to be measured.
#[derive(Debug, Clone, Serialize)]
pub struct CapacitySize {
    /// What varies.
    pub varied: &'static str,
    /// Entries.
    pub entries: usize,
    /// Teams.
    pub teams: usize,
    /// Pools.
    pub pools: usize,
    /// Instances recorded, without processes.
    pub instances: usize,
    /// Changes of the table a second.
    pub changes_per_second: f64,
}

/// What one size came to, for each entry in the mean.
#[derive(Debug, Clone, Serialize)]
pub struct CapacityPoint {
    /// The size.
    pub size: CapacitySize,
    /// Processor, in percent of a core.
    pub cpu_percent: f64,
    /// Resident memory, in megabytes.
    pub resident_mb: f64,
    /// Bytes a second sent to other entries.
    pub peer_bytes: f64,
    /// Bytes a second of bodies to and from the store.
    pub store_bytes: f64,
    /// Calls a second to the store, all entries together.
    pub store_calls: f64,
    /// The longest time from recorded to in force, in milliseconds.
    pub force_ms: f64,
}

/// The sizes: each of the things that grow, in four steps, the others small.
pub fn capacity_sizes() -> Vec<CapacitySize> {
    let base = CapacitySize {
        varied: "base",
        entries: 3,
        teams: 20,
        pools: 5,
        instances: 50,
        changes_per_second: 0.0,
    };
    let mut sizes = vec![base.clone()];
    sizes.extend([6, 9, 18].map(|entries| CapacitySize {
        varied: "entries",
        entries,
        ..base.clone()
    }));
    sizes.extend([165, 330, 660].map(|teams| CapacitySize {
        varied: "teams",
        teams,
        ..base.clone()
    }));
    sizes.extend([25, 52, 103].map(|pools| CapacitySize {
        varied: "pools",
        pools,
        ..base.clone()
    }));
    sizes.extend([1325, 2650, 5300].map(|instances| CapacitySize {
        varied: "instances",
        instances,
        ..base.clone()
    }));
    sizes.extend([0.5, 1.0, 2.0].map(|rate| CapacitySize {
        varied: "changes",
        changes_per_second: rate,
        ..base.clone()
    }));
    sizes.push(CapacitySize {
        varied: "together",
        entries: 9,
        teams: 660,
        pools: 103,
        instances: 5300,
        changes_per_second: 3900.0 / 86_400.0,
    });
    sizes
}

fn shape_of(size: &CapacitySize) -> DeploymentShape {
    let pool = |number: usize| ShapePool {
        name: format!("pool-{number}"),
        kind: TargetKind::Worker,
        size: 60,
        max_out: 3,
        spill: None,
        class: WorkClass::Batch,
        patience: Duration::from_secs(60),
    };
    let team = |number: usize| ShapeTeam {
        name: format!("team-{number}"),
        weight: 1,
        ceiling: 40,
    };
    DeploymentShape {
        region: "north".to_owned(),
        centres: (0..8).map(|number| format!("centre-{number}")).collect(),
        entries: size.entries,
        pools: (0..size.pools).map(pool).collect(),
        teams: (0..size.teams).map(team).collect(),
    }
}

/// Measures one size.
///
/// # Errors
///
/// What did not come up, or a call that failed.
pub async fn measure_capacity(size: &CapacitySize) -> Result<CapacityPoint, DeploymentFault> {
    let options = DeploymentOptions {
        without_targets: true,
        ..DeploymentOptions::default()
    };
    let deployment = RunningDeployment::start(shape_of(size), options).await?;
    record_instances(&deployment, size).await?;
    tokio::time::sleep(SETTLE).await;
    let before = read_counts(&deployment).await?;
    let force_ms = change_table(&deployment, size).await?;
    let after = read_counts(&deployment).await?;
    let entries = f64::from(u32::try_from(size.entries).unwrap_or(1));
    let seconds = MEASURE.as_secs_f64();
    Ok(CapacityPoint {
        size: size.clone(),
        cpu_percent: 100.0 * (after.usage.cpu_seconds - before.usage.cpu_seconds)
            / seconds
            / entries,
        resident_mb: after.usage.resident_mb / entries,
        peer_bytes: (after.peer_bytes - before.peer_bytes) / seconds / entries,
        store_bytes: (after.store_bytes - before.store_bytes) / seconds / entries,
        store_calls: (after.store_calls - before.store_calls) / seconds,
        force_ms,
    })
}

async fn record_instances(
    deployment: &RunningDeployment,
    size: &CapacitySize,
) -> Result<(), DeploymentFault> {
    let mut instances = Vec::new();
    for number in 0..size.instances {
        instances.push(NewInstance {
            name: InstanceName::try_from(format!("worker-{number}"))?,
            kind: TargetKind::Worker,
            pool: PoolName::try_from(format!("pool-{}", number % size.pools))?,
            centre: CentreName::try_from(format!("centre-{}", number % 8))?,
            rack: RackName::try_from(format!("rack-{}", number / 4))?,
            address: format!("127.0.0.1:{}", 20_000 + number % 40_000),
        });
    }
    for part in instances.chunks(INSTANCES_PER_CALL) {
        deployment.operator.add_instances(part).await?;
    }
    Ok(())
}

/// Changes the table at the size's rate while it is measured; returns the longest time
/// to force, in milliseconds.
async fn change_table(
    deployment: &RunningDeployment,
    size: &CapacitySize,
) -> Result<f64, DeploymentFault> {
    let until = tokio::time::Instant::now() + MEASURE;
    let mut longest: f64 = 0.0;
    let mut number = 0;
    while size.changes_per_second > 0.0 && tokio::time::Instant::now() < until {
        let due =
            tokio::time::Instant::now() + Duration::from_secs_f64(1.0 / size.changes_per_second);
        let team = TeamName::try_from(format!("team-{}", number % size.teams))?;
        number += 1;
        let begun = std::time::Instant::now();
        let revision = deployment
            .operator
            .change_rows("capacity", |table| {
                let mut row = table.teams[&team].clone();
                row.weight += 1;
                Ok(vec![RowChange::Team(team.clone(), Some(row))])
            })
            .await?;
        deployment
            .operator
            .await_revision(revision.unwrap_or_default(), FORCE_WAIT)
            .await?;
        longest = longest.max(begun.elapsed().as_secs_f64() * 1000.0);
        tokio::time::sleep_until(due.min(until)).await;
    }
    tokio::time::sleep_until(until).await;
    Ok(longest)
}

#[derive(Debug, Default)]
struct EntryCounts {
    usage: ProcessUsage,
    peer_bytes: f64,
    store_bytes: f64,
    store_calls: f64,
}

async fn read_counts(deployment: &RunningDeployment) -> Result<EntryCounts, DeploymentFault> {
    let mut counts = EntryCounts::default();
    for entry in 0..deployment.entry_count() {
        let usage = deployment.entry_usage(entry);
        counts.usage.cpu_seconds += usage.cpu_seconds;
        counts.usage.resident_mb += usage.resident_mb;
        counts.peer_bytes += deployment
            .entry_metric(entry, "dotterelshore_peer_bytes_total")
            .await?;
        counts.store_bytes += deployment
            .entry_metric(entry, "dotterelshore_store_bytes")
            .await?;
        counts.store_calls += deployment
            .entry_metric(entry, "dotterelshore_store_calls")
            .await?;
    }
    Ok(counts)
}
