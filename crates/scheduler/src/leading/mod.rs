//! Work of the schedule's owner: takeover, planning, orders, recording.

mod advice_task;
mod clock_reads;
mod crash_log;
mod delegates;
mod instance_calls;
mod instance_task;
mod job_follow;
mod leadership;
mod missing_log;
mod order_record;
mod owner_writes;
mod progress_recorder;
mod run_log;
mod takeover;
mod worker_orders;
mod worker_route;
mod worker_snapshots;
mod worker_stops;
mod worker_task;

pub(crate) use {job_follow::apply_announced_cancel, leadership::Leadership, takeover::lead};
