//! The commands of the load tool.

use {
    clap::{Parser, Subcommand, ValueEnum},
    dotterelshore_load::{
        checker::{Promise, PromiseBreach, check_history, read_folder},
        deployment::{DeploymentFault, DeploymentShape},
        runs::{
            CapacityPoint, DemoOutcome, FAILURE_CASES, FailureCase, PolicyMeasures, capacity_sizes,
            measure_capacity, measure_overhead, measure_policy, policy_variants, run_demo,
            run_failure,
        },
    },
    std::{
        path::{Path, PathBuf},
        time::{Duration, Instant},
    },
};

/// Runs deployments on loopback and judges what is seen from outside.
#[derive(Parser)]
#[command(version, name = "dotterelshore-load")]
struct LoadArgs {
    /// Print JSON, a line a result.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: LoadCommand,
}

#[derive(Subcommand)]
enum LoadCommand {
    /// The main job on a small deployment, with a report at the end.
    Demo,
    /// Failure runs: every kind, or one, under one seed or many.
    Prove {
        /// Only this kind.
        #[arg(long)]
        case: Option<String>,
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Go on with further seeds for so long.
        #[arg(long, default_value_t = 0.0)]
        minutes: f64,
        /// Runs at once.
        #[arg(long, default_value_t = 3)]
        parallel: usize,
    },
    /// The chosen policy beside each baseline, on one deployment.
    Policies {
        /// The deployment.
        #[arg(long, value_enum, default_value_t = ShapeArg::Karatula)]
        deployment: ShapeArg,
        /// The seed of everything drawn.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Only the policy of this name.
        #[arg(long)]
        only: Option<String>,
    },
    /// What an entry adds to a request below saturation.
    Overhead,
    /// What control costs a node, at several sizes.
    Capacity {
        /// Only the sizes in which this varies.
        #[arg(long)]
        varied: Option<String>,
    },
    /// Judge a folder of histories.
    Check {
        /// The folder.
        folder: PathBuf,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum ShapeArg {
    Karatula,
    Haddad,
    Small,
}

/// Runs the command given; says whether all was as it must be.
pub(crate) fn run() -> Result<bool, DeploymentFault> {
    let args = LoadArgs::parse();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|source| DeploymentFault::System {
        what: "starting".to_owned(),
        source,
    })?;
    runtime.block_on(async {
        match args.command {
            LoadCommand::Demo => demo().await,
            LoadCommand::Prove {
                case,
                seed,
                minutes,
                parallel,
            } => prove(case.as_deref(), seed, minutes, parallel).await,
            LoadCommand::Policies {
                deployment,
                seed,
                only,
            } => policies(deployment, seed, only.as_deref(), args.json).await,
            LoadCommand::Overhead => overhead(args.json).await,
            LoadCommand::Capacity { varied } => capacity(varied.as_deref(), args.json).await,
            LoadCommand::Check { folder } => check(&folder),
        }
    })
}

async fn demo() -> Result<bool, DeploymentFault> {
    let outcome = run_demo(|line| eprintln!("{line}")).await?;
    print_demo(&outcome);
    Ok(outcome.breaches.is_empty() && outcome.report.wrong + outcome.report.lost == 0)
}

fn print_demo(outcome: &DemoOutcome) {
    println!("\nwhat callers got\n{}", outcome.report);
    println!(
        "{:<8} {:>6} {:>6} {:>7} {:>8} {:>8}",
        "team", "due %", "got %", "sent", "whole", "ceiling"
    );
    for team in &outcome.status.teams {
        let got = outcome
            .report
            .teams
            .get(team.team.as_str())
            .cloned()
            .unwrap_or_default();
        println!(
            "{:<8} {:>6.1} {:>6.1} {:>7} {:>8} {:>8}",
            team.team.as_str(),
            team.due_percent,
            team.got_percent,
            got.sent,
            got.answered,
            team.ceiling
        );
    }
    println!(
        "(shares bind only while the fleet is full; below that each team gets what it asks for)\n"
    );
    println!(
        "jobs: {} accepted, {} ended",
        outcome.jobs.0, outcome.jobs.1
    );
    for wave in &outcome.waves {
        println!(
            "wave {}: {} of {} instances maintained, {:?}",
            wave.name,
            wave.done.len(),
            wave.members.len(),
            wave.status
        );
    }
    print_breaches(&outcome.breaches);
}

fn print_breaches(breaches: &[PromiseBreach]) {
    for promise in Promise::ALL {
        let count = breaches
            .iter()
            .filter(|breach| breach.promise == promise)
            .count();
        let name = format!("{promise:?}");
        println!(
            "promise {name:<13} {}",
            if count == 0 {
                "held".to_owned()
            } else {
                format!("BROKEN {count} times")
            }
        );
    }
    for breach in breaches.iter().take(10) {
        println!("  {breach}");
    }
}

async fn prove(
    case: Option<&str>,
    seed: u64,
    minutes: f64,
    parallel: usize,
) -> Result<bool, DeploymentFault> {
    let until = Instant::now() + Duration::from_secs_f64(minutes * 60.0);
    let cases: Vec<_> = FAILURE_CASES
        .iter()
        .filter(|known| case.is_none_or(|case| known.name == case))
        .collect();
    if cases.is_empty() {
        let names: Vec<&str> = FAILURE_CASES.iter().map(|case| case.name).collect();
        return Err(DeploymentFault::Late {
            what: format!("no such case; there are: {}", names.join(", ")),
        });
    }
    let mut seed = seed;
    let mut sound = true;
    loop {
        let mut open = tokio::task::JoinSet::new();
        for case in &cases {
            while open.len() >= parallel.max(1) {
                sound &= matches!(open.join_next().await, Some(Ok(true)));
            }
            if minutes > 0.0 && Instant::now() >= until {
                break;
            }
            open.spawn(prove_one(**case, seed));
        }
        while let Some(held) = open.join_next().await {
            sound &= held.unwrap_or(false);
        }
        seed += 1;
        if Instant::now() >= until {
            return Ok(sound);
        }
    }
}

/// Runs one case, prints what it came to, and says whether all was as it must be.
async fn prove_one(case: FailureCase, seed: u64) -> bool {
    let begun = Instant::now();
    match run_failure(case, seed).await {
        Ok(outcome) => {
            let faults = outcome.faults();
            let verdict = if faults.is_empty() { "held" } else { "BROKEN" };
            println!(
                "{verdict:<6} {:<26} seed {seed}  {:>5.1} s  sent {}  whole {}  refused {}  recovery {} ms",
                case.name,
                begun.elapsed().as_secs_f64(),
                outcome.report.sent,
                outcome.report.answered,
                outcome.report.not_run + outcome.report.unknown,
                outcome.recovery.as_millis(),
            );
            for fault in faults.iter().take(10) {
                println!("       {fault}");
            }
            faults.is_empty()
        }
        Err(fault) => {
            println!("NOT RUN {} seed {seed}: {fault}", case.name);
            false
        }
    }
}

async fn overhead(json: bool) -> Result<bool, DeploymentFault> {
    for measure in measure_overhead().await? {
        if json {
            print_json(&measure);
        } else {
            println!(
                "{:<32} p50 {:>7.2} ms  p99 {:>7.2} ms",
                measure.way, measure.p50_ms, measure.p99_ms
            );
        }
    }
    Ok(true)
}

async fn policies(
    deployment: ShapeArg,
    seed: u64,
    only: Option<&str>,
    json: bool,
) -> Result<bool, DeploymentFault> {
    let shape = match deployment {
        ShapeArg::Karatula => DeploymentShape::karatula(),
        ShapeArg::Haddad => DeploymentShape::haddad(),
        ShapeArg::Small => DeploymentShape::small(),
    };
    if !json {
        println!(
            "{:<18} {:>8} {:>9} {:>8} {:>10} {:>9} {:>9} {:>8} {:>6} {:>9} {:>7}",
            "policy",
            "share pt",
            "skewed pt",
            "good %",
            "wait ms",
            "refused %",
            "roll-out",
            "buffer %",
            "moves",
            "peer B/s",
            "broken"
        );
    }
    let mut broken = 0;
    for variant in policy_variants(&shape) {
        if only.is_some_and(|only| only != variant.name) {
            continue;
        }
        let measures = measure_policy(&shape, &variant, seed).await?;
        broken += measures.breaches;
        if json {
            print_json(&measures);
        } else {
            print_measures(&measures);
        }
    }
    Ok(broken == 0)
}

fn print_measures(measures: &PolicyMeasures) {
    println!(
        "{:<18} {:>8.1} {:>9.1} {:>8.1} {:>10.1} {:>9.2} {:>8.1}s {:>8.2} {:>6} {:>9.0} {:>7}",
        measures.policy,
        measures.share_error_points,
        measures.skewed_share_error_points,
        measures.goodput_percent,
        measures.urgent_wait_ms,
        measures.refused_percent,
        measures.roll_out_seconds,
        measures.buffer_percent,
        measures.moves,
        measures.peer_bytes,
        measures.breaches
    );
}

async fn capacity(varied: Option<&str>, json: bool) -> Result<bool, DeploymentFault> {
    if !json {
        println!(
            "{:<10} {:>7} {:>6} {:>6} {:>9} {:>9} {:>7} {:>7} {:>9} {:>9} {:>9} {:>8}",
            "varied",
            "entries",
            "teams",
            "pools",
            "instances",
            "changes/s",
            "cpu %",
            "MB",
            "peer B/s",
            "store B/s",
            "calls/s",
            "force ms"
        );
    }
    for size in capacity_sizes() {
        if varied.is_some_and(|varied| varied != size.varied) {
            continue;
        }
        let point = measure_capacity(&size).await?;
        if json {
            print_json(&point);
        } else {
            print_point(&point);
        }
    }
    Ok(true)
}

fn print_point(point: &CapacityPoint) {
    println!(
        "{:<10} {:>7} {:>6} {:>6} {:>9} {:>9.3} {:>7.2} {:>7.1} {:>9.0} {:>9.0} {:>9.1} {:>8.0}",
        point.size.varied,
        point.size.entries,
        point.size.teams,
        point.size.pools,
        point.size.instances,
        point.size.changes_per_second,
        point.cpu_percent,
        point.resident_mb,
        point.peer_bytes,
        point.store_bytes,
        point.store_calls,
        point.force_ms
    );
}

fn check(folder: &Path) -> Result<bool, DeploymentFault> {
    let lines = read_folder(folder);
    let lines = lines.map_err(|source| DeploymentFault::System {
        what: folder.display().to_string(),
        source,
    })?;
    let breaches = check_history(&lines);
    println!("{} events", lines.len());
    print_breaches(&breaches);
    Ok(breaches.is_empty())
}

fn print_json<T: serde::Serialize>(value: &T) {
    match serde_json::to_string(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("can't print: {error}"),
    }
}
