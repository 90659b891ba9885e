//! Measures the cost of the control plane per entry while one size at a time is varied.

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

/// Time for the deployment to settle before a measurement.
const SETTLE_DURATION: Duration = Duration::from_secs(4);
/// Duration of a measurement.
const MEASURE_DURATION: Duration = Duration::from_secs(12);
/// Number of instances recorded per call.
const INSTANCES_PER_CALL: usize = 200;
/// Timeout for a revision to be in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(12);

/// A size of the deployment to measure.
#[derive(Debug, Clone, Serialize)]
pub struct CapacitySize {
    /// Name of the quantity that varies.
    pub varied: &'static str,
    /// Number of entries.
    pub entries: usize,
    /// Number of teams.
    pub teams: usize,
    /// Number of pools.
    pub pools: usize,
    /// Number of recorded instances, which have no processes.
    pub instances: usize,
    /// Table changes per second.
    pub changes_per_second: f64,
}

/// Measurements of one size: means per entry unless stated otherwise.
#[derive(Debug, Clone, Serialize)]
pub struct CapacityPoint {
    /// The measured size.
    pub size: CapacitySize,
    /// CPU usage, in percent of a core.
    pub cpu_percent: f64,
    /// Resident memory, in megabytes.
    pub resident_mb: f64,
    /// Traffic to other entries, in bytes per second.
    pub peer_bytes: f64,
    /// Bodies of store calls in both directions, in bytes per second.
    pub store_bytes: f64,
    /// Store calls per second, total of all entries.
    pub store_calls: f64,
    /// Maximum time from a change's submission until it is in force everywhere, in milliseconds;
    /// zero without changes.
    pub force_ms: f64,
}

/// Returns the sizes to measure: each quantity in four steps while the others are small, and one
/// size that raises all of them together.
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
        max_unavailable: 3,
        spill: None,
        class: WorkClass::Batch,
        max_wait: Duration::from_secs(60),
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
/// Returns an error if the deployment does not start or a call fails.
pub async fn measure_capacity(size: &CapacitySize) -> Result<CapacityPoint, DeploymentFault> {
    let options = DeploymentOptions {
        without_targets: true,
        ..DeploymentOptions::default()
    };
    let deployment = RunningDeployment::start(shape_of(size), options).await?;
    record_instances(&deployment, size).await?;
    tokio::time::sleep(SETTLE_DURATION).await;
    let before = read_counters(&deployment).await?;
    let force_ms = change_table(&deployment, size).await?;
    let after = read_counters(&deployment).await?;
    let entries = f64::from(u32::try_from(size.entries).unwrap_or(1));
    let seconds = MEASURE_DURATION.as_secs_f64();
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
    for chunk in instances.chunks(INSTANCES_PER_CALL) {
        deployment.operator.add_instances(chunk).await?;
    }
    Ok(())
}

/// Changes the table at the size's rate for the duration of the measurement. Returns the maximum
/// time from a change's submission until it is in force everywhere, in milliseconds.
async fn change_table(
    deployment: &RunningDeployment,
    size: &CapacitySize,
) -> Result<f64, DeploymentFault> {
    let deadline = tokio::time::Instant::now() + MEASURE_DURATION;
    let mut max_ms: f64 = 0.0;
    let mut number = 0;
    while size.changes_per_second > 0.0 && tokio::time::Instant::now() < deadline {
        let next_change =
            tokio::time::Instant::now() + Duration::from_secs_f64(1.0 / size.changes_per_second);
        let team = TeamName::try_from(format!("team-{}", number % size.teams))?;
        number += 1;
        let started = std::time::Instant::now();
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
            .await_revision(revision.unwrap_or_default(), IN_FORCE_TIMEOUT)
            .await?;
        max_ms = max_ms.max(started.elapsed().as_secs_f64() * 1000.0);
        tokio::time::sleep_until(next_change.min(deadline)).await;
    }
    tokio::time::sleep_until(deadline).await;
    Ok(max_ms)
}

#[derive(Debug, Default)]
struct EntryCounters {
    usage: ProcessUsage,
    peer_bytes: f64,
    store_bytes: f64,
    store_calls: f64,
}

async fn read_counters(deployment: &RunningDeployment) -> Result<EntryCounters, DeploymentFault> {
    let mut counters = EntryCounters::default();
    for entry in 0..deployment.entry_count() {
        let usage = deployment.entry_usage(entry);
        counters.usage.cpu_seconds += usage.cpu_seconds;
        counters.usage.resident_mb += usage.resident_mb;
        counters.peer_bytes += deployment
            .entry_metric(entry, "dotterelshore_peer_bytes_total")
            .await?;
        counters.store_bytes += deployment
            .entry_metric(entry, "dotterelshore_store_bytes")
            .await?;
        counters.store_calls += deployment
            .entry_metric(entry, "dotterelshore_store_calls")
            .await?;
    }
    Ok(counters)
}
