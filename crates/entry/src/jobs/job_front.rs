//! What callers ask of jobs: submit, read, cancel.

use {
    super::{job_desk::look_after, job_key},
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

/// Longest wait for a peer to note a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// Records a job; it is accepted once this returns. Submitting the same name again for
/// the same team changes nothing.
pub(crate) async fn submit(
    node: &Arc<EntryNode>,
    request: &CallerRequest,
    name: JobName,
    body: String,
) -> Result<JobRecord, Refusal> {
    let fresh = JobRecord::new(
        name,
        request.team.name.clone(),
        request.queue.name.clone(),
        body,
        node.stamp.clone(),
    );
    let record = node
        .store
        .update(
            &job_key(&fresh.name),
            |record: Option<JobRecord>| match record {
                None => Ok(UpdateDecision::Write(fresh.clone(), fresh.clone())),
                Some(record) => Ok(UpdateDecision::Keep(record)),
            },
        )
        .await?;
    if record.owner == node.stamp && !record.state.is_terminal() {
        look_after(node, record.clone());
    }
    Ok(record)
}

/// Reads a job of the team.
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

/// Records a cancellation and tells the entry that looks after the job.
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
        node.jobs.cancel(job);
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
