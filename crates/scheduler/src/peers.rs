//! Asking other entries, the owner of the schedule above all, and answering them.

use {
    crate::{
        job_records::{record_cancel, record_job, stored_state},
        node::{SchedulerNode, lock},
        store_path::StorePath,
    },
    dotterelshore_domain::{
        names::{JobName, QueueName},
        schedule::{JobRecord, JobState},
    },
    dotterelshore_wire::{
        log_event,
        peer_codec::{PeerFault, read_frame, write_frame},
    },
    serde::{Deserialize, Serialize},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::BufStream,
        net::{TcpListener, TcpStream},
        sync::Mutex as AsyncMutex,
    },
};

/// Longest time for the owner's answer, connecting included. Some hundred times an
/// undisturbed round trip.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time to open a connection to the owner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time for another entry's word on a record: its own write, and the way.
const RECORD_TIMEOUT: Duration = Duration::from_millis(900);
/// Wait after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What an entry asks another one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerCall {
    /// Where does a job stand? For the owner.
    State(JobName),
    /// How many jobs of a queue wait? For the owner.
    Pending(QueueName),
    /// Does the store answer you?
    StoreHeard,
    /// Record a job, for an entry that the store turns away.
    Submit(Box<JobRecord>),
    /// Record that a job is cancelled, for such an entry.
    Cancel(JobName),
    /// Where does a job stand by the store, for such an entry?
    StoredState(JobName),
}

/// What another entry answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerReply {
    /// Where the job stands; nothing if the owner does not know it.
    State(Option<JobState>),
    /// Jobs that wait.
    Pending(u64),
    /// Whether the store answers.
    StoreHeard(bool),
    /// Where the job stands by the store; nothing if the store has no such job.
    StoredState(Option<JobState>),
    /// The store does not answer here either.
    StoreAway,
    /// What became of the record.
    Recorded(RecordOutcome),
    /// This entry does not own the schedule.
    NotOwner,
}

/// What became of a record that a caller asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RecordOutcome {
    /// It is stored, now or since before.
    Stored,
    /// There is no such job.
    NoJob,
    /// It is not stored and will not be.
    NotStored,
    /// It may be stored, now or later.
    Unsure,
}

/// The connection to the owner, opened when there is something to ask.
#[derive(Debug, Default)]
pub(crate) struct OwnerLink {
    open: AsyncMutex<Option<(SocketAddr, BufStream<TcpStream>)>>,
}

impl OwnerLink {
    async fn call(&self, address: SocketAddr, call: &PeerCall) -> Result<PeerReply, PeerFault> {
        let mut open = self.open.lock().await;
        let mut stream = match open.take() {
            Some((to, stream)) if to == address => stream,
            _ => connect(address).await?,
        };
        write_frame(&mut stream, call).await?;
        let reply = read_frame(&mut stream).await?;
        *open = Some((address, stream));
        Ok(reply)
    }
}

/// A call on a connection of its own, so that it is known whether it was sent; nothing if it
/// was and no answer came.
async fn call_once(address: SocketAddr, call: &PeerCall) -> Result<Option<PeerReply>, PeerFault> {
    let mut stream = connect(address).await?;
    let exchange = async {
        write_frame(&mut stream, call).await?;
        read_frame(&mut stream).await
    };
    match tokio::time::timeout(RECORD_TIMEOUT, exchange).await {
        Ok(Ok(reply)) => Ok(Some(reply)),
        Ok(Err(fault)) => {
            log_event!(Info, "peer-unsure", peer = address, error = fault);
            Ok(None)
        }
        Err(_) => {
            log_event!(Info, "peer-late", peer = address);
            Ok(None)
        }
    }
}

/// Whether the store answers another entry; nothing if that entry does not answer.
pub(crate) async fn hears_store(address: SocketAddr) -> Option<bool> {
    let asked = tokio::time::timeout(CALL_TIMEOUT, call_once(address, &PeerCall::StoreHeard));
    match asked.await {
        Ok(Ok(Some(PeerReply::StoreHeard(heard)))) => Some(heard),
        Ok(Ok(reply)) => {
            log_event!(
                Debug,
                "peer-answer-odd",
                peer = address,
                reply = format!("{reply:?}")
            );
            None
        }
        Ok(Err(fault)) => {
            log_event!(Debug, "peer-not-reached", peer = address, error = fault);
            None
        }
        Err(_) => {
            log_event!(Debug, "peer-late", peer = address);
            None
        }
    }
}

/// The entry that can do for this one what needs the store: one that the store answers, else
/// the owner, as long as nothing better is known.
fn stand_in(node: &SchedulerNode) -> Option<SocketAddr> {
    match node.store_path() {
        StorePath::Through(address) => Some(address),
        StorePath::Direct => {
            let owner = node.owner.borrow().clone();
            let owner = owner.filter(|owner| owner.incarnation != node.incarnation);
            owner.map(|owner| owner.address)
        }
        StorePath::Outage | StorePath::CutOff => None,
    }
}

/// Where a job stands by the store as another entry reads it, if one can; `Some(None)` if the
/// store has no such job.
pub(crate) async fn state_elsewhere(
    node: &SchedulerNode,
    job: &JobName,
) -> Option<Option<JobState>> {
    let address = stand_in(node)?;
    let call = PeerCall::StoredState(job.clone());
    let asked = tokio::time::timeout(CALL_TIMEOUT, call_once(address, &call));
    if let Ok(Ok(Some(PeerReply::StoredState(state)))) = asked.await {
        return Some(state);
    }
    node.metrics.count_retry("peer-state");
    log_event!(Info, "state-unknown", job = job, asked = address);
    None
}

/// Has another entry record what this one can't, since the store turns it away.
pub(crate) async fn record_elsewhere(node: &SchedulerNode, call: PeerCall) -> RecordOutcome {
    let Some(address) = stand_in(node) else {
        return RecordOutcome::NotStored;
    };
    let connecting = call_once(address, &call);
    match tokio::time::timeout(CONNECT_TIMEOUT + RECORD_TIMEOUT, connecting).await {
        Ok(Ok(Some(PeerReply::Recorded(outcome)))) => outcome,
        Ok(Ok(None)) => RecordOutcome::Unsure,
        Ok(Err(fault)) => {
            log_event!(Debug, "peer-not-reached", peer = address, error = fault);
            RecordOutcome::NotStored
        }
        // Another answer is the word of an entry that recorded nothing. The call's own limit
        // comes before this one, so on that the connection never opened.
        Ok(Ok(Some(_))) | Err(_) => RecordOutcome::NotStored,
    }
}

async fn connect(address: SocketAddr) -> Result<BufStream<TcpStream>, PeerFault> {
    let opening = TcpStream::connect(address);
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, opening).await;
    let stream = opened
        .unwrap_or_else(|elapsed| Err(io::Error::new(io::ErrorKind::TimedOut, elapsed)))
        .map_err(|source| PeerFault::Connection { source })?;
    if let Err(error) = stream.set_nodelay(true) {
        log_event!(Debug, "nodelay-not-set", error = error);
    }
    Ok(BufStream::new(stream))
}

/// Asks the owner, here or elsewhere; nothing if it is not known or does not answer.
pub(crate) async fn ask_owner(node: &SchedulerNode, call: PeerCall) -> Option<PeerReply> {
    if let Some(reply) = answer(node, &call) {
        return Some(reply);
    }
    let address = node.owner.borrow().as_ref().map(|owner| owner.address)?;
    let asked = tokio::time::timeout(CALL_TIMEOUT, node.owner_link.call(address, &call));
    match asked.await {
        Ok(Ok(PeerReply::NotOwner)) => None,
        Ok(Ok(reply)) => Some(reply),
        Ok(Err(fault)) => {
            node.metrics.count_retry("owner-connection");
            log_event!(Debug, "owner-call-failed", owner = address, error = fault);
            None
        }
        Err(_) => {
            node.metrics.count_retry("owner-timeout");
            log_event!(Debug, "owner-call-timeout", owner = address);
            None
        }
    }
}

/// The owner's answer; nothing if this process does not own the schedule.
fn answer(node: &SchedulerNode, call: &PeerCall) -> Option<PeerReply> {
    let leadership = node.leadership()?;
    let schedule = lock(&leadership.schedule);
    Some(match call {
        PeerCall::State(job) => PeerReply::State(schedule.state(job)),
        PeerCall::Pending(queue) => PeerReply::Pending(schedule.pending(queue) as u64),
        PeerCall::StoreHeard
        | PeerCall::Submit(_)
        | PeerCall::Cancel(_)
        | PeerCall::StoredState(_) => return None,
    })
}

/// Starts answering other entries.
pub(crate) fn start(node: &Arc<SchedulerNode>, listener: TcpListener) {
    let node = Arc::clone(node);
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(answer_peer(Arc::clone(&node), stream));
                }
                Err(error) => {
                    log_event!(Warn, "accept-failed", error = error);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
}

async fn answer_peer(node: Arc<SchedulerNode>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log_event!(Debug, "nodelay-not-set", error = error);
    }
    let mut stream = BufStream::new(stream);
    loop {
        let call: PeerCall = match read_frame(&mut stream).await {
            Ok(call) => call,
            Err(PeerFault::Connection { .. }) => return,
            Err(fault) => {
                log_event!(Warn, "peer-foreign", error = fault);
                return;
            }
        };
        let away = node.store_is_away();
        let reply = match &call {
            PeerCall::StoreHeard => PeerReply::StoreHeard(!away),
            PeerCall::Submit(_) | PeerCall::Cancel(_) | PeerCall::StoredState(_) if away => {
                PeerReply::StoreAway
            }
            PeerCall::Submit(record) => PeerReply::Recorded(record_job(&node, record).await),
            PeerCall::Cancel(job) => PeerReply::Recorded(record_cancel(&node, job).await),
            PeerCall::StoredState(job) => match stored_state(&node, job).await {
                Ok(state) => PeerReply::StoredState(state),
                Err(fault) => {
                    log_event!(Info, "state-unknown", job = job, error = fault);
                    PeerReply::StoreAway
                }
            },
            call => answer(&node, call).unwrap_or(PeerReply::NotOwner),
        };
        if let Err(fault) = write_frame(&mut stream, &reply).await {
            log_event!(Debug, "peer-gone", error = fault);
            return;
        }
    }
}
