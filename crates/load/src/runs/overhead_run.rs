//! What an entry adds below saturation, against the same request sent to a target.

use {
    crate::{
        deployment::{DeploymentFault, DeploymentOptions, DeploymentShape, RunningDeployment},
        driver::{ArrivalPlan, EntryChoice, run_load},
    },
    bytes::Bytes,
    dotterelshore_wire::{
        http_client::{HttpClient, request_to},
        target_message::{HEADER_REQUEST_ID, HEADER_RUN_ID, HEADER_TEAM},
    },
    hdrhistogram::Histogram,
    hyper::Method,
    serde::Serialize,
    std::time::{Duration, Instant},
};

/// Requests a second, well below saturation.
const RATE: f64 = 100.0;
/// How long each way is measured.
const LENGTH: Duration = Duration::from_secs(10);
/// Longest latency counted, in microseconds.
const LATENCY_MAX_US: u64 = 60_000_000;
/// Requests sent to targets directly.
const DIRECT_REQUESTS: u32 = 1000;

/// Time beyond the work itself, in milliseconds.
#[derive(Debug, Clone, Serialize)]
pub struct OverheadMeasure {
    /// Which way.
    pub way: &'static str,
    /// Half take at most this.
    pub p50_ms: f64,
    /// All but one in a hundred take at most this.
    pub p99_ms: f64,
}

/// Measures each way on a small deployment.
///
/// # Errors
///
/// What did not come up, or a call that failed.
pub async fn measure_overhead() -> Result<Vec<OverheadMeasure>, DeploymentFault> {
    let deployment =
        RunningDeployment::start(DeploymentShape::small(), DeploymentOptions::default()).await?;
    let mut measures = vec![direct(&deployment).await?];
    for (way, non_idempotent) in [
        ("through an entry, idempotent", 0.0),
        ("through an entry, with a claim", 1.0),
    ] {
        let plan = ArrivalPlan {
            length: LENGTH,
            rate: RATE,
            mean_work: Duration::ZERO,
            non_idempotent,
            ..ArrivalPlan::default()
        };
        let report = run_load(&deployment.view(), &plan, EntryChoice::InTurn).await;
        measures.push(OverheadMeasure {
            way,
            p50_ms: report.overhead_ms(50.0),
            p99_ms: report.overhead_ms(99.0),
        });
    }
    Ok(measures)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "microseconds shown as milliseconds"
)]
async fn direct(deployment: &RunningDeployment) -> Result<OverheadMeasure, DeploymentFault> {
    let http = HttpClient::new(8, 1024 * 1024);
    let latency = Histogram::<u64>::new_with_bounds(1, LATENCY_MAX_US, 3);
    let mut latency = latency.unwrap_or_else(|_| unreachable!("constant bounds"));
    let start = Instant::now();
    for number in 0..DIRECT_REQUESTS {
        let target = deployment
            .target_address(0, (number % 4) as usize)
            .to_string();
        let run = format!("direct-{number}");
        let headers = [
            (HEADER_REQUEST_ID, run.as_str()),
            (HEADER_RUN_ID, run.as_str()),
            (HEADER_TEAM, "direct"),
        ];
        let request = request_to(
            Method::POST,
            &target,
            "/run",
            &headers,
            Bytes::from_static(b"{}"),
        )?;
        // As for the other ways, latency counts from the intended send time.
        let due = start + Duration::from_secs_f64(f64::from(number) / RATE);
        tokio::time::sleep_until(due.into()).await;
        http.send(request, Duration::from_secs(5)).await?;
        latency.saturating_record(u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX));
    }
    let at = |percentile| latency.value_at_percentile(percentile) as f64 / 1000.0;
    Ok(OverheadMeasure {
        way: "to a target directly",
        p50_ms: at(50.0),
        p99_ms: at(99.0),
    })
}
