//! Scheduling of multi-step jobs on the workers of a fleet, and maintenance of its instances.

mod arrival_rate;
mod backfill_limit;
mod crash_blame;
mod crash_notice;
mod crash_suspicion;
mod crash_trial;
mod delegate_roster;
mod fleet_schedule;
mod incarnation_order;
mod index_ranges;
mod instance_moves;
mod instance_plan;
mod job_occurrences;
mod job_order;
mod job_plan;
mod job_progress;
mod job_removal;
mod live_job;
mod maintenance_wave;
mod missing_tasks;
mod order_budget;
mod orphaned_runs;
mod owner_pace;
mod pace_controller;
mod partial_gang;
mod placement;
mod planning_work;
mod poll_scope;
mod pool_candidates;
mod pool_demand;
mod pool_load;
mod progress_batch;
mod queue_table;
mod record_groups;
mod recorded_start;
mod run_notice;
mod run_reports;
mod run_tracking;
mod share_bucket;
mod snapshot_shard;
mod start_replies;
mod step_advice;
mod step_state;
mod task_name;
mod task_run;
mod tracked_table;
mod trial_queue;
mod unplaced_needs;
mod wave_cordon;
mod worker_clock;
mod worker_disruption;
mod worker_listing;
mod worker_order;
mod worker_slots;
mod worker_snapshots;
mod worker_status;

pub use {
    crash_notice::CrashNotice,
    crash_suspicion::CrashedRun,
    delegate_roster::{DelegateRoster, EntryResources},
    fleet_schedule::FleetSchedule,
    index_ranges::IndexRanges,
    instance_plan::{InstanceActivity, InstanceOrder, InstancePlan, ListedInstance},
    job_order::{JobUrgency, OrderRule},
    job_plan::{JobPlan, PlanFault, Resources, StepPlan},
    job_progress::{
        JobRecord, JobState, ProgressRecord, RecordedAttempt, StepProgress, TaskCrashes,
        TaskFailures, WorkerIncarnation,
    },
    maintenance_wave::{WaveProgress, WaveSpec},
    missing_tasks::{MissingReason, MissingTask, MissingTasks},
    owner_pace::OwnerPace,
    pace_controller::PaceController,
    planning_work::PlanningWork,
    poll_scope::{PollScope, RunWatch},
    pool_load::PoolLoad,
    progress_batch::ProgressBatch,
    queue_table::{
        AdviceSettings, PoolRow, QueueRow, QueueTable, RequestLimits, RouteFault, TeamRow,
    },
    record_groups::{RecordCost, record_groups},
    run_notice::{KnownRun, RunNotice},
    run_tracking::{DropReason, DroppedRuns, LingeringRuns},
    snapshot_shard::{SnapshotShard, StoredSnapshots, storable_snapshots},
    start_replies::{StartRefusal, StartReply},
    step_advice::AdviceRequest,
    task_name::TaskName,
    wave_cordon::LiftedCordon,
    worker_clock::WorkerClock,
    worker_listing::{RowOutcome, WorkerRow},
    worker_order::{StartOrder, StopOrder, WorkerOrder},
    worker_status::{
        EndReason, EndedRun, ListedWorker, PollRequest, ReportedRun, UnreachableRuns, WorkerReport,
        WorkerSnapshot, WorkerStatus,
    },
};
