//! Measures the latency that an entry adds below saturation, compared with a request sent directly
//! to a target.

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

/// Requests per second, well below saturation.
const RATE: f64 = 100.0;
/// Duration of the measurement of each route through an entry.
const LOAD_DURATION: Duration = Duration::from_secs(10);
/// Upper bound of the latency histogram, in microseconds.
const LATENCY_MAX_US: u64 = 60_000_000;
/// Number of requests sent directly to targets.
const DIRECT_REQUEST_COUNT: u32 = 1000;

/// Latency minus the request's own run time, in milliseconds.
#[derive(Debug, Clone, Serialize)]
pub struct OverheadMeasure {
    /// Measured route.
    #[serde(rename = "way")]
    pub route: &'static str,
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

/// Measures each route on a small deployment.
///
/// # Errors
///
/// Returns an error if the deployment does not start or a call fails.
pub async fn measure_overhead() -> Result<Vec<OverheadMeasure>, DeploymentFault> {
    let deployment =
        RunningDeployment::start(DeploymentShape::small(), DeploymentOptions::default()).await?;
    let mut measures = vec![measure_direct(&deployment).await?];
    for (route, non_idempotent_fraction) in [
        ("through an entry, idempotent", 0.0),
        ("through an entry, with a claim", 1.0),
    ] {
        let plan = ArrivalPlan {
            duration: LOAD_DURATION,
            rate: RATE,
            mean_work_duration: Duration::ZERO,
            non_idempotent_fraction,
            ..ArrivalPlan::default()
        };
        let report = run_load(&deployment.view(), &plan, EntryChoice::RoundRobin).await;
        measures.push(OverheadMeasure {
            route,
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
async fn measure_direct(
    deployment: &RunningDeployment,
) -> Result<OverheadMeasure, DeploymentFault> {
    let http = HttpClient::new(8, 1024 * 1024);
    let latency = Histogram::<u64>::new_with_bounds(1, LATENCY_MAX_US, 3);
    let mut latency = latency.unwrap_or_else(|_| unreachable!("constant bounds"));
    let start = Instant::now();
    for number in 0..DIRECT_REQUEST_COUNT {
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
        // As for the other routes, latency is measured from the intended send time.
        let send_time = start + Duration::from_secs_f64(f64::from(number) / RATE);
        tokio::time::sleep_until(send_time.into()).await;
        http.send(request, Duration::from_secs(5)).await?;
        latency
            .saturating_record(u64::try_from(send_time.elapsed().as_micros()).unwrap_or(u64::MAX));
    }
    let at = |percentile| latency.value_at_percentile(percentile) as f64 / 1000.0;
    Ok(OverheadMeasure {
        route: "to a target directly",
        p50_ms: at(50.0),
        p99_ms: at(99.0),
    })
}
