//! Job operations for callers: submit, read and cancel.

use {
    super::{job_key, job_registry::start_job_task},
    crate::{node::EntryNode, peers},
    dotterelshore_domain::{
        codes::{Refusal, ResultCode},
        job::JobRecord,
        names::{JobName, TeamName},
        request::CallerRequest,
    },
    dotterelshore_wire::{
        event_log::unix_millis, peer_message::PeerCall, store_client::UpdateDecision,
    },
    std::{sync::Arc, time::Duration},
};

/// Longest wait for a peer to acknowledge a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// Records a job and starts its task; the job is accepted once this returns.
///
/// Submitting a name again returns the existing record unchanged. Names start with the team's
/// name, so teams do not share them.
///
/// # Errors
///
/// Fails if the record can't be written to the store.
pub(crate) async fn submit(
    node: &Arc<EntryNode>,
    request: &CallerRequest,
    name: JobName,
    body: String,
) -> Result<JobRecord, Refusal> {
    let new_record = JobRecord::new(
        name,
        request.team.name.clone(),
        request.queue.name.clone(),
        body,
        node.stamp.clone(),
    );
    let record = node
        .store
        .update(
            &job_key(&new_record.name),
            |record: Option<JobRecord>| match record {
                None => Ok(UpdateDecision::Write(
                    new_record.clone(),
                    new_record.clone(),
                )),
                Some(record) => Ok(UpdateDecision::Keep(record)),
            },
        )
        .await?;
    if record.owner == node.stamp && !record.state.is_terminal() {
        start_job_task(node, record.clone());
    }
    Ok(record)
}

/// Reads a job of the team.
///
/// # Errors
///
/// Refuses with [`ResultCode::UnknownJob`] if the team has no such job.
pub(crate) async fn read(
    node: &EntryNode,
    team: &TeamName,
    job: &JobName,
) -> Result<JobRecord, Refusal> {
    let record = node.store.get::<JobRecord>(&job_key(job)).await?;
    record
        .map(|record| record.value)
        .filter(|record| record.team == *team)
        .ok_or_else(|| unknown(job))
}

/// Records a cancellation and notifies the entry that supervises the job.
///
/// # Errors
///
/// Refuses if the team has no such job, or if the job has finished or failed.
pub(crate) async fn cancel(
    node: &Arc<EntryNode>,
    team: &TeamName,
    job: &JobName,
) -> Result<JobRecord, Refusal> {
    let record = node
        .store
        .update(&job_key(job), |record: Option<JobRecord>| {
            let mut record = record
                .filter(|record| record.team == *team)
                .ok_or_else(|| unknown(job))?;
            record.cancel()?;
            record.mark_ended(unix_millis());
            Ok(UpdateDecision::Write(record.clone(), record))
        })
        .await?;
    if record.owner == node.stamp {
        node.jobs.notify_cancelled(job);
    } else {
        let call = PeerCall::JobCancelled { job: job.clone() };
        let _best_effort = peers::call(node, &record.owner.name, call, CANCEL_TIMEOUT).await;
    }
    Ok(record)
}

fn unknown(job: &JobName) -> Refusal {
    Refusal::not_run(
        ResultCode::UnknownJob,
        format!("no job '{job}' of this team"),
    )
}
