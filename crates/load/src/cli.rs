//! Command line of the load tool.

use {
    clap::{Parser, Subcommand, ValueEnum},
    dotterelshore_load::{
        checker::{Invariant, InvariantViolation, check_history, read_folder},
        deployment::{DeploymentFault, DeploymentShape},
        runs::{
            CapacityPoint, DemoOutcome, FAILURE_CASES, FailureCase, PolicyMeasures, capacity_sizes,
            measure_capacity, measure_overhead, measure_policy, policy_configs, run_demo,
            run_failure,
        },
    },
    std::{
        path::{Path, PathBuf},
        time::{Duration, Instant},
    },
};

/// Runs deployments on loopback and checks their behaviour from outside.
#[derive(Parser)]
#[command(version, name = "dotterelshore-load")]
struct LoadArgs {
    /// Print one line of JSON per result.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: LoadCommand,
}

#[derive(Subcommand)]
enum LoadCommand {
    /// Run the demonstration on a small deployment and print a report.
    Demo,
    /// Run the failure cases, or one of them, with one or more seeds.
    Prove {
        /// Run only this case.
        #[arg(long)]
        case: Option<String>,
        /// First seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Continue with further seeds for this many minutes.
        #[arg(long, default_value_t = 0.0)]
        minutes: f64,
        /// Number of concurrent runs.
        #[arg(long, default_value_t = 3)]
        parallel: usize,
    },
    /// Measure the full policy and each baseline on one deployment.
    Policies {
        /// Deployment to start.
        #[arg(long, value_enum, default_value_t = ShapeArg::Karatula)]
        deployment: ShapeArg,
        /// Seed of the random generators.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Measure only the policy with this name.
        #[arg(long)]
        only: Option<String>,
    },
    /// Measure the latency that an entry adds to a request below saturation.
    Overhead,
    /// Measure the cost of the control plane per entry at several sizes.
    Capacity {
        /// Measure only the sizes that vary this quantity.
        #[arg(long)]
        varied: Option<String>,
    },
    /// Check a folder of history files.
    Check {
        /// Folder of the history files.
        folder: PathBuf,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum ShapeArg {
    Karatula,
    Haddad,
    Small,
}

/// Runs the given command. Returns whether it found no violation and no failure.
pub(crate) fn run() -> Result<bool, DeploymentFault> {
    let args = LoadArgs::parse();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|source| DeploymentFault::System {
        operation: "starting the runtime".to_owned(),
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
    Ok(outcome.violations.is_empty() && outcome.report.incorrect + outcome.report.lost == 0)
}

fn print_demo(outcome: &DemoOutcome) {
    println!("\nload report\n{}", outcome.report);
    println!(
        "{:<8} {:>7} {:>6} {:>7} {:>8} {:>8}",
        "team", "share %", "used %", "sent", "complete", "ceiling"
    );
    for team in &outcome.status.teams {
        let team_report = outcome
            .report
            .teams
            .get(team.team.as_str())
            .cloned()
            .unwrap_or_default();
        println!(
            "{:<8} {:>7.1} {:>6.1} {:>7} {:>8} {:>8}",
            team.team.as_str(),
            team.due_percent,
            team.got_percent,
            team_report.sent,
            team_report.completed,
            team.ceiling
        );
    }
    println!(
        "(shares take effect only while the fleet is full; below that every team's demand is met)\n"
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
    print_violations(&outcome.violations);
}

fn print_violations(violations: &[InvariantViolation]) {
    for invariant in Invariant::ALL {
        let count = violations
            .iter()
            .filter(|violation| violation.invariant == invariant)
            .count();
        let name = format!("{invariant:?}");
        println!(
            "invariant {name:<13} {}",
            if count == 0 {
                "held".to_owned()
            } else {
                format!("VIOLATED {count} times")
            }
        );
    }
    for violation in violations.iter().take(10) {
        println!("  {violation}");
    }
}

async fn prove(
    case: Option<&str>,
    seed: u64,
    minutes: f64,
    parallel: usize,
) -> Result<bool, DeploymentFault> {
    let deadline = Instant::now() + Duration::from_secs_f64(minutes * 60.0);
    let cases: Vec<_> = FAILURE_CASES
        .iter()
        .filter(|known| case.is_none_or(|case| known.name == case))
        .collect();
    if cases.is_empty() {
        let names: Vec<&str> = FAILURE_CASES.iter().map(|case| case.name).collect();
        return Err(DeploymentFault::Failed {
            message: format!("unknown failure case; known cases: {}", names.join(", ")),
        });
    }
    let mut seed = seed;
    let mut passed = true;
    loop {
        let mut running = tokio::task::JoinSet::new();
        for case in &cases {
            while running.len() >= parallel.max(1) {
                passed &= matches!(running.join_next().await, Some(Ok(true)));
            }
            if minutes > 0.0 && Instant::now() >= deadline {
                break;
            }
            running.spawn(run_case(**case, seed));
        }
        while let Some(result) = running.join_next().await {
            passed &= result.unwrap_or(false);
        }
        seed += 1;
        if Instant::now() >= deadline {
            return Ok(passed);
        }
    }
}

/// Runs one case, prints its result and returns whether it passed.
async fn run_case(case: FailureCase, seed: u64) -> bool {
    let started = Instant::now();
    match run_failure(case, seed).await {
        Ok(outcome) => {
            let failures = outcome.failures();
            let verdict = if failures.is_empty() {
                "passed"
            } else {
                "FAILED"
            };
            println!(
                "{verdict:<6} {:<26} seed {seed}  {:>5.1} s  sent {}  complete {}  refused {}  recovery {} ms",
                case.name,
                started.elapsed().as_secs_f64(),
                outcome.report.sent,
                outcome.report.completed,
                outcome.report.not_run + outcome.report.outcome_unknown,
                outcome.recovery.as_millis(),
            );
            for failure in failures.iter().take(10) {
                println!("       {failure}");
            }
            failures.is_empty()
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
                measure.route, measure.p50_ms, measure.p99_ms
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
            "{:<18} {:>8} {:>9} {:>8} {:>10} {:>9} {:>9} {:>8} {:>6} {:>9} {:>10}",
            "policy",
            "share pt",
            "skewed pt",
            "goodput%",
            "wait ms",
            "refused %",
            "roll-out",
            "buffer %",
            "moves",
            "peer B/s",
            "violations"
        );
    }
    let mut violation_count = 0;
    for config in policy_configs(&shape) {
        if only.is_some_and(|only| only != config.name) {
            continue;
        }
        let measures = measure_policy(&shape, &config, seed).await?;
        violation_count += measures.violations;
        if json {
            print_json(&measures);
        } else {
            print_measures(&measures);
        }
    }
    Ok(violation_count == 0)
}

fn print_measures(measures: &PolicyMeasures) {
    println!(
        "{:<18} {:>8.1} {:>9.1} {:>8.1} {:>10.1} {:>9.2} {:>8.1}s {:>8.2} {:>6} {:>9.0} {:>10}",
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
        measures.violations
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
        operation: folder.display().to_string(),
        source,
    })?;
    let violations = check_history(&lines);
    println!("{} events", lines.len());
    print_violations(&violations);
    Ok(violations.is_empty())
}

fn print_json<T: serde::Serialize>(value: &T) {
    match serde_json::to_string(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("can't encode the result as JSON: {error}"),
    }
}
