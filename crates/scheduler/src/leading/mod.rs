//! What the owner of the schedule does: take over, plan, order, record.

mod advice_task;
mod instance_calls;
mod instance_task;
mod job_follow;
mod leadership;
mod order_record;
mod owner_log;
mod progress_recorder;
mod takeover;
mod worker_orders;
mod worker_roster;
mod worker_task;

pub(crate) use {leadership::Leadership, takeover::lead};
