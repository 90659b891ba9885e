//! The four measures, lateness and the promises, for one policy.

use {
    super::policy_variant::PolicyVariant,
    crate::{
        checker::{check_history, read_folder},
        deployment::{
            DeploymentFault, DeploymentOptions, DeploymentShape, RunningDeployment, ShapeTeam,
        },
        driver::{ArrivalPlan, EntryChoice, RunReport, run_load},
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

/// Slots of an executor.
const EXECUTOR_SLOTS: f64 = 8.0;
/// Mean length of a request in these runs.
const MEAN_WORK: Duration = Duration::from_millis(250);
/// Mean length of a request, and its deadline, while a pool is full.
const FULL_MEAN_WORK: Duration = Duration::from_millis(400);
const FULL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a full pool is loaded, and from when on shares are counted.
const FULL_LENGTH: Duration = Duration::from_secs(18);
const FULL_COUNTED_FROM: Duration = Duration::from_secs(3);
/// How long the peaks go on.
const PEAK_LENGTH: Duration = Duration::from_secs(20);
/// Part of a pool that its queue asks for in the mean, when queues peak in turn.
const PEAK_MEAN_LOAD: f64 = 0.3;
/// Length of a reboot.
const REBOOT: Duration = Duration::from_secs(1);
/// Longest wait for waves after the load has ended.
const WAVE_WAIT: Duration = Duration::from_secs(60);

/// What one policy came to.
#[derive(Debug, Clone, Default, Serialize)]
pub struct PolicyMeasures {
    /// The policy.
    pub policy: String,
    /// Largest distance of a team's part of a full pool's slots from the table, in points of
    /// a hundred, when requests go to each entry in turn.
    pub share_error_points: f64,
    /// The same when each team's requests go mostly to an entry of its own.
    pub skewed_share_error_points: f64,
    /// Work done under twice the load that can be carried, in percent of the capacity.
    pub goodput_percent: f64,
    /// Wait of urgent requests beyond their own work while queues peak and waves run, at
    /// p99.9, in milliseconds.
    pub urgent_wait_ms: f64,
    /// Part of the requests refused then, in percent.
    pub refused_percent: f64,
    /// From a wave's start to its end, the longest, in seconds.
    pub roll_out_seconds: f64,
    /// Instances kept out of service while the waves ran, in percent of all.
    pub buffer_percent: f64,
    /// Instances that changed pools.
    pub moves: usize,
    /// Bytes a second that an entry sent to the others while queues peaked, in the mean.
    pub peer_bytes: f64,
    /// Promises broken.
    pub breaches: usize,
}

/// Measures one policy on a deployment's shape.
///
/// # Errors
///
/// What did not come up, or a call that failed.
pub async fn measure_policy(
    shape: &DeploymentShape,
    variant: &PolicyVariant,
    seed: u64,
) -> Result<PolicyMeasures, DeploymentFault> {
    let options = DeploymentOptions {
        entry_flags: variant
            .entry_flags
            .iter()
            .map(|flag| (*flag).to_owned())
            .collect(),
        reboot: REBOOT,
        ..DeploymentOptions::default()
    };
    let deployment = RunningDeployment::start(shape.clone(), options).await?;
    let even = run_full(&deployment, seed, 4.0, EntryChoice::InTurn).await?;
    let skewed = run_full(&deployment, seed + 1, 4.0, EntryChoice::ByTeam).await?;
    let twice = run_full(&deployment, seed + 2, 2.0, EntryChoice::InTurn).await?;
    let begun = unix_micros();
    start_waves(&deployment, variant).await?;
    let peer_bytes = total_peer_bytes(&deployment).await?;
    let peaks = run_load(
        &deployment.view(),
        &peak_plan(shape, seed + 3),
        EntryChoice::InTurn,
    )
    .await;
    let peer_bytes = total_peer_bytes(&deployment).await? - peer_bytes;
    let waves = await_waves(&deployment).await?;
    let lines = read_lines(&deployment)?;
    Ok(PolicyMeasures {
        policy: variant.name.to_owned(),
        share_error_points: even.share_error_points,
        skewed_share_error_points: skewed.share_error_points,
        goodput_percent: twice.goodput_percent,
        urgent_wait_ms: peaks.overhead_ms(99.9),
        refused_percent: refused_percent(&peaks),
        roll_out_seconds: waves.iter().map(roll_out).fold(0.0, f64::max),
        buffer_percent: buffer_percent(&lines, begun),
        moves: count_moves(&lines),
        peer_bytes: peer_bytes / PEAK_LENGTH.as_secs_f64() / entries_of(shape),
        breaches: check_history(&lines).len(),
    })
}

fn entries_of(shape: &DeploymentShape) -> f64 {
    f64::from(u32::try_from(shape.entries.max(1)).unwrap_or(u32::MAX))
}

/// Bytes that all entries have sent to each other.
async fn total_peer_bytes(deployment: &RunningDeployment) -> Result<f64, DeploymentFault> {
    let mut total = 0.0;
    for entry in 0..deployment.entry_count() {
        total += deployment
            .entry_metric(entry, "dotterelshore_peer_bytes_total")
            .await?;
    }
    Ok(total)
}

/// The slots of the first pool of executors, which is the one that is filled.
fn pool_slots(shape: &DeploymentShape) -> f64 {
    let pool = shape
        .pools
        .iter()
        .find(|pool| pool.kind == TargetKind::Executor);
    pool.map_or(0.0, |pool| {
        f64::from(u32::try_from(pool.size).unwrap_or_default()) * EXECUTOR_SLOTS
    })
}

/// What a full pool came to.
#[derive(Debug, Clone, Copy)]
struct FullPool {
    share_error_points: f64,
    goodput_percent: f64,
}

/// Loads a pool, and the spare one that it spills to, with `load` times what they carry.
async fn run_full(
    deployment: &RunningDeployment,
    seed: u64,
    load: f64,
    choice: EntryChoice,
) -> Result<FullPool, DeploymentFault> {
    let shape = &deployment.shape;
    let filled = &shape.pools[0];
    let queues: Vec<String> = [Some(filled.name.clone()), filled.spill.clone()]
        .into_iter()
        .flatten()
        .collect();
    let slots = pool_slots(shape) * f64::from(u32::try_from(queues.len()).unwrap_or_default());
    let plan = ArrivalPlan {
        seed,
        length: FULL_LENGTH,
        counted_from: FULL_COUNTED_FROM,
        rate: load * slots / FULL_MEAN_WORK.as_secs_f64(),
        mean_work: FULL_MEAN_WORK,
        timeout: FULL_TIMEOUT,
        non_idempotent: 0.0,
        even_teams: true,
        queues,
        ..ArrivalPlan::default()
    };
    let begun = unix_micros();
    let report = run_load(&deployment.view(), &plan, choice).await;
    let lines = read_lines(deployment)?;
    let from = begun + micros(FULL_COUNTED_FROM);
    let used = slot_seconds(&lines, &filled.name, from, begun + micros(FULL_LENGTH));
    Ok(FullPool {
        share_error_points: share_error_points(&used, &shape.teams),
        goodput_percent: 100.0 * report.goodput() / slots,
    })
}

fn micros(length: Duration) -> u64 {
    u64::try_from(length.as_micros()).unwrap_or(u64::MAX)
}

fn read_lines(deployment: &RunningDeployment) -> Result<Vec<HistoryLine>, DeploymentFault> {
    let what = || "reading the history".to_owned();
    read_folder(&deployment.folder).map_err(|source| DeploymentFault::System {
        what: what(),
        source,
    })
}

/// Seconds of a pool's slots that each team used between two times, by the targets' word.
#[expect(clippy::cast_precision_loss, reason = "microseconds shown as seconds")]
fn slot_seconds(lines: &[HistoryLine], pool: &str, from: u64, to: u64) -> FastMap<String, f64> {
    let mut begun: FastMap<&str, u64> = FastMap::default();
    let mut used: FastMap<String, f64> = FastMap::default();
    let of_pool = |target: &str| {
        target
            .rsplit_once('-')
            .is_some_and(|(name, _)| name == pool)
    };
    for line in lines {
        match &line.event {
            HistoryEvent::RunBegun { target, run, .. } if of_pool(target) => {
                begun.insert(run, line.at_us);
            }
            HistoryEvent::RunEnded { run, team, .. } => {
                let Some(since) = begun.remove(run.as_str()) else {
                    continue;
                };
                let length = line.at_us.min(to).saturating_sub(since.max(from));
                *used.entry(team.clone()).or_default() += length as f64 / 1e6;
            }
            _ => {}
        }
    }
    used
}

/// The largest distance of a team's part from its part of the weights, in points of a hundred.
fn share_error_points(used: &FastMap<String, f64>, teams: &[ShapeTeam]) -> f64 {
    let total: f64 = used.values().sum();
    let weights: u32 = teams.iter().map(|team| team.weight).sum();
    let distance = |team: &ShapeTeam| {
        let got = used.get(&team.name).copied().unwrap_or_default() / total.max(f64::MIN_POSITIVE);
        100.0 * (got - f64::from(team.weight) / f64::from(weights.max(1))).abs()
    };
    teams.iter().map(distance).fold(0.0, f64::max)
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
        length: PEAK_LENGTH,
        rate: PEAK_MEAN_LOAD * queues * pool_slots(shape) / MEAN_WORK.as_secs_f64(),
        mean_work: MEAN_WORK,
        peaks: true,
        non_idempotent: 0.1,
        timeout: Duration::from_secs(10),
        ..ArrivalPlan::default()
    }
}

async fn start_waves(
    deployment: &RunningDeployment,
    variant: &PolicyVariant,
) -> Result<(), DeploymentFault> {
    for pool in deployment
        .shape
        .pools
        .iter()
        .filter(|pool| pool.kind == TargetKind::Executor)
    {
        let form = WaveRequest {
            name: WaveName::try_from(format!("wave-{}", pool.name))?,
            pool: PoolName::try_from(pool.name.as_str())?,
            plan: variant.plan,
        };
        deployment.operator.start_wave(&form).await?;
    }
    Ok(())
}

async fn await_waves(deployment: &RunningDeployment) -> Result<Vec<WaveRecord>, DeploymentFault> {
    let until = Instant::now() + WAVE_WAIT;
    loop {
        let waves = deployment.operator.waves().await?;
        if waves.iter().all(|wave| wave.status == WaveStatus::Done) {
            return Ok(waves);
        }
        if Instant::now() >= until {
            return Err(DeploymentFault::Late {
                what: "the end of the waves".to_owned(),
            });
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

#[expect(clippy::cast_precision_loss, reason = "milliseconds shown as seconds")]
fn roll_out(wave: &WaveRecord) -> f64 {
    let done = wave.done_at_ms.unwrap_or(wave.started_at_ms);
    done.saturating_sub(wave.started_at_ms) as f64 / 1000.0
}

#[expect(clippy::cast_precision_loss, reason = "counts shown as a percentage")]
fn refused_percent(report: &RunReport) -> f64 {
    100.0 * (report.not_run + report.unknown) as f64 / report.sent.max(1) as f64
}

/// Instance time out of service from `begun` on, against all instance time until the
/// last instance came back.
#[expect(
    clippy::cast_precision_loss,
    reason = "microseconds shown as a percentage"
)]
fn buffer_percent(lines: &[HistoryLine], begun: u64) -> f64 {
    let mut out_since: FastMap<&str, u64> = FastMap::default();
    let mut members: FastSet<&str> = FastSet::default();
    let mut out_us = 0;
    let mut last = begun;
    for line in lines {
        let HistoryEvent::InstanceWritten {
            instance, state, ..
        } = &line.event
        else {
            continue;
        };
        members.insert(instance);
        if line.at_us < begun {
            continue;
        }
        if state == "in-service" {
            if let Some(since) = out_since.remove(instance.as_str()) {
                out_us += line.at_us - since;
                last = line.at_us;
            }
        } else {
            out_since.entry(instance).or_insert(line.at_us);
        }
    }
    100.0 * out_us as f64 / ((last - begun) as f64 * members.len() as f64).max(1.0)
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
