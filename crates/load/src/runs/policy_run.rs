//! Measures one policy: shares, goodput, waits, roll-out, buffer cost and invariant violations.

use {
    super::policy_config::PolicyConfig,
    crate::{
        checker::{check_history, read_folder},
        deployment::{
            DeploymentFault, DeploymentOptions, DeploymentShape, RunningDeployment, ShapeTeam,
        },
        driver::{ArrivalPlan, EntryChoice, LoadReport, run_load},
    },
    dotterelshore_domain::{
        collections::{FastMap, FastSet},
        names::{PoolName, WaveName},
        table::TargetKind,
        wave::{WaveRecord, WaveStatus},
    },
    dotterelshore_standins::history::{HistoryEvent, HistoryLine, unix_micros},
    dotterelshore_wire::operator_message::WaveRequest,
    serde::Serialize,
    std::time::Duration,
    tokio::time::Instant,
};

/// Number of slots of an executor.
const EXECUTOR_SLOTS: f64 = 8.0;
/// Mean run time of a request while queues peak.
const MEAN_WORK_DURATION: Duration = Duration::from_millis(250);
/// Mean run time of a request while a pool is full.
const FULL_MEAN_WORK_DURATION: Duration = Duration::from_millis(400);
/// Timeout of a request while a pool is full.
const FULL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time during which a full pool is loaded.
const FULL_DURATION: Duration = Duration::from_secs(18);
/// Initial part of that time, excluded from shares and goodput.
const FULL_WARM_UP: Duration = Duration::from_secs(3);
/// Duration of the load with rotating peaks.
const PEAK_DURATION: Duration = Duration::from_secs(20);
/// Mean demand of a queue with rotating peaks, as a fraction of its pool's slots.
const PEAK_MEAN_LOAD: f64 = 0.3;
/// Time that an instance is down during a reboot.
const REBOOT_DURATION: Duration = Duration::from_secs(1);
/// Timeout for the waves to complete after the load has ended.
const WAVE_TIMEOUT: Duration = Duration::from_secs(60);

/// Measurements of one policy.
#[derive(Debug, Clone, Default, Serialize)]
pub struct PolicyMeasures {
    /// Policy name.
    pub policy: String,
    /// Maximum deviation of a team's part of a full pool's slots from its share in the table, in
    /// percentage points, with requests spread round robin over the entries.
    pub share_error_points: f64,
    /// The same deviation with most requests of a team sent to one entry.
    pub skewed_share_error_points: f64,
    /// Goodput at a load of twice the capacity, in percent of the capacity.
    pub goodput_percent: f64,
    /// 99.9th percentile of the latency of urgent requests minus their own run time, while queues
    /// peak and waves run, in milliseconds.
    pub urgent_wait_ms: f64,
    /// Refused requests while queues peak and waves run, in percent.
    pub refused_percent: f64,
    /// Maximum time from a wave's start to its end, in seconds.
    pub roll_out_seconds: f64,
    /// Mean part of all instances that was out of service while the waves ran, in percent.
    pub buffer_percent: f64,
    /// Number of moves of instances between pools.
    pub moves: usize,
    /// Mean traffic from an entry to its peers while queues peaked, in bytes per second.
    pub peer_bytes: f64,
    /// Number of invariant violations.
    #[serde(rename = "breaches")]
    pub violations: usize,
}

/// Measures one policy on a deployment.
///
/// # Errors
///
/// Returns an error if the deployment does not start or a call fails.
pub async fn measure_policy(
    shape: &DeploymentShape,
    config: &PolicyConfig,
    seed: u64,
) -> Result<PolicyMeasures, DeploymentFault> {
    let options = DeploymentOptions {
        entry_flags: config
            .entry_flags
            .iter()
            .map(|flag| (*flag).to_owned())
            .collect(),
        reboot_duration: REBOOT_DURATION,
        ..DeploymentOptions::default()
    };
    let deployment = RunningDeployment::start(shape.clone(), options).await?;
    let even = run_full_pool(&deployment, seed, 4.0, EntryChoice::RoundRobin).await?;
    let skewed = run_full_pool(&deployment, seed + 1, 4.0, EntryChoice::TeamAffinity).await?;
    let overload = run_full_pool(&deployment, seed + 2, 2.0, EntryChoice::RoundRobin).await?;
    let started_at_us = unix_micros();
    start_waves(&deployment, config).await?;
    let peer_bytes = total_peer_bytes(&deployment).await?;
    let rotating_peaks = run_load(
        &deployment.view(),
        &peak_plan(shape, seed + 3),
        EntryChoice::RoundRobin,
    )
    .await;
    let peer_bytes = total_peer_bytes(&deployment).await? - peer_bytes;
    let waves = await_waves(&deployment).await?;
    let lines = read_lines(&deployment)?;
    Ok(PolicyMeasures {
        policy: config.name.to_owned(),
        share_error_points: even.share_error_points,
        skewed_share_error_points: skewed.share_error_points,
        goodput_percent: overload.goodput_percent,
        urgent_wait_ms: rotating_peaks.overhead_ms(99.9),
        refused_percent: refused_percent(&rotating_peaks),
        roll_out_seconds: waves.iter().map(roll_out_seconds).fold(0.0, f64::max),
        buffer_percent: buffer_percent(&lines, started_at_us),
        moves: count_moves(&lines),
        peer_bytes: peer_bytes / PEAK_DURATION.as_secs_f64() / entry_count(shape),
        violations: check_history(&lines).len(),
    })
}

fn entry_count(shape: &DeploymentShape) -> f64 {
    f64::from(u32::try_from(shape.entries.max(1)).unwrap_or(u32::MAX))
}

/// Returns the bytes that all entries together have sent to their peers.
async fn total_peer_bytes(deployment: &RunningDeployment) -> Result<f64, DeploymentFault> {
    let mut total = 0.0;
    for entry in 0..deployment.entry_count() {
        total += deployment
            .entry_metric(entry, "dotterelshore_peer_bytes_total")
            .await?;
    }
    Ok(total)
}

/// Returns the number of slots of the first executor pool, which is the one that is filled.
fn pool_slots(shape: &DeploymentShape) -> f64 {
    let pool = shape
        .pools
        .iter()
        .find(|pool| pool.kind == TargetKind::Executor);
    pool.map_or(0.0, |pool| {
        f64::from(u32::try_from(pool.size).unwrap_or_default()) * EXECUTOR_SLOTS
    })
}

/// Measurements of a full pool.
#[derive(Debug, Clone, Copy)]
struct FullPoolMeasures {
    share_error_points: f64,
    goodput_percent: f64,
}

/// Loads the first pool and the spare pool that it spills to with `load` times their capacity.
async fn run_full_pool(
    deployment: &RunningDeployment,
    seed: u64,
    load: f64,
    choice: EntryChoice,
) -> Result<FullPoolMeasures, DeploymentFault> {
    let shape = &deployment.shape;
    let filled = &shape.pools[0];
    let queues: Vec<String> = [Some(filled.name.clone()), filled.spill.clone()]
        .into_iter()
        .flatten()
        .collect();
    let slots = pool_slots(shape) * f64::from(u32::try_from(queues.len()).unwrap_or_default());
    let plan = ArrivalPlan {
        seed,
        duration: FULL_DURATION,
        warm_up: FULL_WARM_UP,
        rate: load * slots / FULL_MEAN_WORK_DURATION.as_secs_f64(),
        mean_work_duration: FULL_MEAN_WORK_DURATION,
        timeout: FULL_TIMEOUT,
        non_idempotent_fraction: 0.0,
        equal_team_demand: true,
        queues,
        ..ArrivalPlan::default()
    };
    let started_at_us = unix_micros();
    let report = run_load(&deployment.view(), &plan, choice).await;
    let lines = read_lines(deployment)?;
    let from_us = started_at_us + micros(FULL_WARM_UP);
    let used = slot_seconds(
        &lines,
        &filled.name,
        from_us,
        started_at_us + micros(FULL_DURATION),
    );
    Ok(FullPoolMeasures {
        share_error_points: share_error_points(&used, &shape.teams),
        goodput_percent: 100.0 * report.goodput() / slots,
    })
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn read_lines(deployment: &RunningDeployment) -> Result<Vec<HistoryLine>, DeploymentFault> {
    let operation = || "reading the history".to_owned();
    read_folder(&deployment.folder).map_err(|source| DeploymentFault::System {
        operation: operation(),
        source,
    })
}

/// Returns the slot time of a pool that each team used between two times, in seconds, from the
/// targets' events.
#[expect(clippy::cast_precision_loss, reason = "microseconds shown as seconds")]
fn slot_seconds(
    lines: &[HistoryLine],
    pool: &str,
    from_us: u64,
    to_us: u64,
) -> FastMap<String, f64> {
    let mut started_at_us: FastMap<&str, u64> = FastMap::default();
    let mut used: FastMap<String, f64> = FastMap::default();
    let is_in_pool = |target: &str| {
        target
            .rsplit_once('-')
            .is_some_and(|(name, _)| name == pool)
    };
    for line in lines {
        match &line.event {
            HistoryEvent::RunBegun { target, run, .. } if is_in_pool(target) => {
                started_at_us.insert(run, line.at_us);
            }
            HistoryEvent::RunEnded { run, team, .. } => {
                let Some(since_us) = started_at_us.remove(run.as_str()) else {
                    continue;
                };
                let run_us = line.at_us.min(to_us).saturating_sub(since_us.max(from_us));
                *used.entry(team.clone()).or_default() += run_us as f64 / 1e6;
            }
            _ => {}
        }
    }
    used
}

/// Returns the maximum deviation of a team's used part from its part of the weights, in percentage
/// points.
fn share_error_points(used: &FastMap<String, f64>, teams: &[ShapeTeam]) -> f64 {
    let total: f64 = used.values().sum();
    let weights: u32 = teams.iter().map(|team| team.weight).sum();
    let deviation = |team: &ShapeTeam| {
        let used_part =
            used.get(&team.name).copied().unwrap_or_default() / total.max(f64::MIN_POSITIVE);
        100.0 * (used_part - f64::from(team.weight) / f64::from(weights.max(1))).abs()
    };
    teams.iter().map(deviation).fold(0.0, f64::max)
}

fn peak_plan(shape: &DeploymentShape, seed: u64) -> ArrivalPlan {
    let executors = shape
        .pools
        .iter()
        .filter(|pool| pool.kind == TargetKind::Executor)
        .count();
    let queues = f64::from(u32::try_from(executors).unwrap_or_default());
    ArrivalPlan {
        seed,
        duration: PEAK_DURATION,
        rate: PEAK_MEAN_LOAD * queues * pool_slots(shape) / MEAN_WORK_DURATION.as_secs_f64(),
        mean_work_duration: MEAN_WORK_DURATION,
        rotating_peaks: true,
        non_idempotent_fraction: 0.1,
        timeout: Duration::from_secs(10),
        ..ArrivalPlan::default()
    }
}

async fn start_waves(
    deployment: &RunningDeployment,
    config: &PolicyConfig,
) -> Result<(), DeploymentFault> {
    for pool in deployment
        .shape
        .pools
        .iter()
        .filter(|pool| pool.kind == TargetKind::Executor)
    {
        let request = WaveRequest {
            name: WaveName::try_from(format!("wave-{}", pool.name))?,
            pool: PoolName::try_from(pool.name.as_str())?,
            plan: config.plan,
        };
        deployment.operator.start_wave(&request).await?;
    }
    Ok(())
}

async fn await_waves(deployment: &RunningDeployment) -> Result<Vec<WaveRecord>, DeploymentFault> {
    let deadline = Instant::now() + WAVE_TIMEOUT;
    loop {
        let waves = deployment.operator.waves().await?;
        if waves.iter().all(|wave| wave.status == WaveStatus::Done) {
            return Ok(waves);
        }
        if Instant::now() >= deadline {
            return Err(DeploymentFault::Failed {
                message: "timed out waiting for the waves to end".to_owned(),
            });
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

#[expect(clippy::cast_precision_loss, reason = "milliseconds shown as seconds")]
fn roll_out_seconds(wave: &WaveRecord) -> f64 {
    let done = wave.done_at_ms.unwrap_or(wave.started_at_ms);
    done.saturating_sub(wave.started_at_ms) as f64 / 1000.0
}

#[expect(clippy::cast_precision_loss, reason = "counts shown as a percentage")]
fn refused_percent(report: &LoadReport) -> f64 {
    100.0 * (report.not_run + report.outcome_unknown) as f64 / report.sent.max(1) as f64
}

/// Returns the instance time out of service from `started_at_us` on, in percent of the total
/// instance time until the last instance returned to service.
#[expect(
    clippy::cast_precision_loss,
    reason = "microseconds shown as a percentage"
)]
fn buffer_percent(lines: &[HistoryLine], started_at_us: u64) -> f64 {
    let mut out_of_service_since: FastMap<&str, u64> = FastMap::default();
    let mut members: FastSet<&str> = FastSet::default();
    let mut out_of_service_us = 0;
    let mut last_us = started_at_us;
    for line in lines {
        let HistoryEvent::InstanceWritten {
            instance, state, ..
        } = &line.event
        else {
            continue;
        };
        members.insert(instance);
        if line.at_us < started_at_us {
            continue;
        }
        if state == "in-service" {
            if let Some(since) = out_of_service_since.remove(instance.as_str()) {
                out_of_service_us += line.at_us - since;
                last_us = line.at_us;
            }
        } else {
            out_of_service_since.entry(instance).or_insert(line.at_us);
        }
    }
    100.0 * out_of_service_us as f64
        / ((last_us - started_at_us) as f64 * members.len() as f64).max(1.0)
}

fn count_moves(lines: &[HistoryLine]) -> usize {
    let mut pools: FastMap<&str, &str> = FastMap::default();
    let mut moves = 0;
    for line in lines {
        let HistoryEvent::InstanceWritten { instance, pool, .. } = &line.event else {
            continue;
        };
        let before = pools.insert(instance, pool);
        moves += usize::from(before.is_some_and(|before| before != pool));
    }
    moves
}
