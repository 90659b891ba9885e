//! A job of the team alpha that works for some time.

use {
    dotterelshore_load::driver::CallerRequest, dotterelshore_standins::targets::TargetWork,
    std::time::Duration,
};

/// Returns the request that submits the job.
pub(crate) fn batch_request(id: &str, work: Duration) -> CallerRequest {
    CallerRequest {
        id: id.to_owned(),
        team: "alpha".to_owned(),
        key: "key-of-alpha".to_owned(),
        queue: "proofs-batch".to_owned(),
        idempotent: false,
        timeout: Duration::from_secs(5),
        work: TargetWork {
            work_ms: u64::try_from(work.as_millis()).expect("a duration in range"),
            nonce: format!("n-{id}"),
            ..TargetWork::default()
        },
    }
}
