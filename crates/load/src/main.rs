//! The load driver and experiment tool.

use dotterelshore_load::runs::{FAILURE_CASES, run_failure};

#[tokio::main]
async fn main() {
    let wanted = std::env::args().nth(1).unwrap_or_default();
    let seed = std::env::args()
        .nth(2)
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    for case in FAILURE_CASES
        .iter()
        .filter(|case| wanted.is_empty() || case.name == wanted)
    {
        let begun = std::time::Instant::now();
        match run_failure(*case, seed).await {
            Ok(outcome) => {
                println!(
                    "== {} {:.1}s recovery {:?}",
                    case.name,
                    begun.elapsed().as_secs_f64(),
                    outcome.recovery
                );
                print!("{}", outcome.report);
                for fault in outcome.faults().iter().take(8) {
                    println!("  FAULT {fault}");
                }
                println!("  {} faults", outcome.faults().len());
            }
            Err(fault) => println!("== {} did not run: {fault}", case.name),
        }
    }
}
