//! Jobs of several steps, scheduled on the workers of a fleet.

mod arrival_rate;
mod filler_pace;
mod fleet_schedule;
mod held_workers;
mod instance_moves;
mod instance_plan;
mod job_order;
mod job_plan;
mod job_progress;
mod live_job;
mod maintenance_wave;
mod order_budget;
mod placement;
mod pool_need;
mod queue_table;
mod run_reports;
mod share_meter;
mod start_answers;
mod step_advice;
mod task_name;
mod worker_lives;
mod worker_order;
mod worker_seat;
mod worker_takedown;

pub use {
    filler_pace::FillerPace,
    fleet_schedule::{FleetSchedule, PoolLoad, ProgressBatch},
    instance_plan::{InstanceActivity, InstanceOrder, InstancePlan, ListedInstance},
    job_order::{JobUrgency, OrderRule},
    job_plan::{JobPlan, PlanFault, Resources, StepPlan},
    job_progress::{JobRecord, JobState, ProgressRecord, StepTally, TaskFailures},
    maintenance_wave::{WaveOrder, WaveProgress},
    queue_table::{AdviceTerms, FrontLimits, PoolRow, QueueRow, QueueTable, RouteFault, TeamRow},
    start_answers::{StartRefusal, StartReply},
    step_advice::AdviceQuestion,
    task_name::TaskName,
    worker_order::{StartOrder, StopOrder, WorkerOrder},
    worker_seat::{
        EndKind, EndedRun, HeldWorker, ListedWorker, LostRuns, RunningRow, WorkerReport, WorkerSeat,
    },
};
