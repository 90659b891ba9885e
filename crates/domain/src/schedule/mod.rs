//! Jobs of several steps, scheduled on the workers of a fleet.

mod arrival_rate;
mod fleet_schedule;
mod instance_plan;
mod job_order;
mod job_plan;
mod job_progress;
mod live_job;
mod placement;
mod queue_table;
mod run_reports;
mod task_name;
mod worker_seat;

pub use {
    fleet_schedule::{FleetSchedule, PoolLoad, ProgressBatch, StartOrder, StopOrder, WorkerOrder},
    instance_plan::{
        InstanceActivity, InstanceOrder, InstancePlan, ListedInstance, WaveOrder, WaveProgress,
    },
    job_order::{JobUrgency, OrderRule},
    job_plan::{JobPlan, PlanFault, Resources, StepPlan},
    job_progress::{JobRecord, JobState, ProgressRecord, StepTally, TaskFailures},
    queue_table::{FrontLimits, PoolRow, QueueRow, QueueTable, RouteFault, TeamRow},
    run_reports::{StartRefusal, StartReply},
    task_name::TaskName,
    worker_seat::{
        EndKind, EndedRun, HeldWorker, ListedWorker, LostRuns, RunningRow, WorkerReport, WorkerSeat,
    },
};
