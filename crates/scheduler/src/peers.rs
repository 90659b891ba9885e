//! Calls between entries, above all to the owner of the schedule.

use {
    crate::{
        delegation::carry_calls,
        job_records::{record_cancel, record_job, stored_state},
        leading::apply_announced_cancel,
        node::{SchedulerNode, lock, uptime_ms},
        store_path::StorePath,
    },
    dotterelshore_domain::{
        names::{JobName, QueueName},
        schedule::{JobRecord, JobState},
    },
    dotterelshore_wire::{
        event_log::unix_millis,
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

/// Longest time for the owner's answer, including the connection. About a hundred times an
/// undisturbed round trip.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time to open a connection to another entry.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time for another entry's answer to a write: its call to the store, and the round trip.
const RECORD_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A call from one entry to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerCall {
    /// Asks the owner for a job's state.
    State(JobName),
    /// Asks the owner how many jobs of a queue wait.
    Pending(QueueName),
    /// Asks whether the entry reaches the store.
    StoreHeard,
    /// Records a job on behalf of an entry that does not reach the store.
    Submit(Box<JobRecord>),
    /// Records a cancellation on behalf of such an entry.
    Cancel(JobName),
    /// Reads a job's state from the store on behalf of such an entry.
    StoredState(JobName),
    /// Tells the owner of a job that was just recorded, so that it need not wait for its watch.
    Recorded(Box<JobRecord>),
    /// Tells the owner of a cancellation that was just recorded, for the same reason.
    Cancelled {
        /// The cancelled job.
        job: JobName,
        /// Store revision of the cancellation.
        revision: u64,
    },
    /// Turns the connection into the link of a delegate, which carries calls to workers.
    CarryCalls,
}

/// The reply to a [`PeerCall`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerReply {
    /// The job's state; `None` if the owner does not know the job.
    State(Option<JobState>),
    /// Number of jobs that wait.
    Pending(u64),
    /// Whether the entry reaches the store.
    StoreHeard(bool),
    /// The job's state by the store; `None` if the store has no such job.
    StoredState(Option<JobState>),
    /// The entry does not reach the store either.
    StoreAway,
    /// The outcome of the write.
    Recorded(WriteOutcome),
    /// This entry does not own the schedule.
    NotOwner,
    /// The owner knows the job.
    Known,
}

/// Outcome of a write to the store on behalf of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum WriteOutcome {
    /// The record is stored, by this write or an earlier one.
    Stored,
    /// There is no such job, or it was cancelled before it was recorded.
    NoJob,
    /// The write has not taken effect and will not.
    NotStored,
    /// The outcome is unknown: the write may have taken effect or may still do so.
    Unsure,
    /// The store rejects the record, such as for its length, and would do so again.
    Rejected,
}

/// The connection to the owner, opened when a call needs it.
#[derive(Debug, Default)]
pub(crate) struct OwnerConnection {
    stream: AsyncMutex<Option<(SocketAddr, BufStream<TcpStream>)>>,
}

impl OwnerConnection {
    async fn call(&self, address: SocketAddr, call: &PeerCall) -> Result<PeerReply, PeerFault> {
        let mut cached = self.stream.lock().await;
        let mut stream = match cached.take() {
            Some((peer, stream)) if peer == address => stream,
            _ => connect(address).await?,
        };
        write_frame(&mut stream, call).await?;
        let reply = read_frame(&mut stream).await?;
        *cached = Some((address, stream));
        Ok(reply)
    }
}

/// Makes a call on a new connection, so that it is known whether the call was sent. Returns
/// `None` if it was sent and no reply came.
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

/// Asks another entry whether it reaches the store; `None` if that entry does not answer.
pub(crate) async fn query_store_access(address: SocketAddr) -> Option<bool> {
    let reply = tokio::time::timeout(CALL_TIMEOUT, call_once(address, &PeerCall::StoreHeard));
    match reply.await {
        Ok(Ok(Some(PeerReply::StoreHeard(is_reachable)))) => Some(is_reachable),
        Ok(Ok(reply)) => {
            log_event!(
                Debug,
                "peer-reply-unexpected",
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

/// The entry through which this one reaches the store: the one of the store path, or the owner
/// while the path is still direct.
fn relay_address(node: &SchedulerNode) -> Option<SocketAddr> {
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

/// Reads a job's state from the store through another entry. Returns `None` if that failed and
/// `Some(None)` if the store has no such job.
pub(crate) async fn query_state_via_peer(
    node: &SchedulerNode,
    job: &JobName,
) -> Option<Option<JobState>> {
    let address = relay_address(node)?;
    let call = PeerCall::StoredState(job.clone());
    let reply = tokio::time::timeout(CALL_TIMEOUT, call_once(address, &call));
    if let Ok(Ok(Some(PeerReply::StoredState(state)))) = reply.await {
        return Some(state);
    }
    node.metrics.count_retry("peer-state");
    log_event!(Info, "state-unknown", job = job, asked = address);
    None
}

/// Has another entry write a record, since the store is unreachable from this one.
pub(crate) async fn record_via_peer(node: &SchedulerNode, call: PeerCall) -> WriteOutcome {
    let Some(address) = relay_address(node) else {
        return WriteOutcome::NotStored;
    };
    let exchange = call_once(address, &call);
    match tokio::time::timeout(CONNECT_TIMEOUT + RECORD_TIMEOUT, exchange).await {
        Ok(Ok(Some(PeerReply::Recorded(outcome)))) => outcome,
        Ok(Ok(None)) => WriteOutcome::Unsure,
        Ok(Err(fault)) => {
            log_event!(Debug, "peer-not-reached", peer = address, error = fault);
            WriteOutcome::NotStored
        }
        // Any other reply comes from an entry that recorded nothing. The call's own timeout ends
        // before this one, so that if this one expires, the connection was never opened.
        Ok(Ok(Some(_))) | Err(_) => WriteOutcome::NotStored,
    }
}

pub(crate) async fn connect(address: SocketAddr) -> Result<BufStream<TcpStream>, PeerFault> {
    let connecting = TcpStream::connect(address);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
    let stream = connected
        .unwrap_or_else(|elapsed| Err(io::Error::new(io::ErrorKind::TimedOut, elapsed)))
        .map_err(|source| PeerFault::Connection { source })?;
    if let Err(error) = stream.set_nodelay(true) {
        log_event!(Debug, "nodelay-not-set", error = error);
    }
    Ok(BufStream::new(stream))
}

/// Asks the owner, which may be this process; `None` if it is unknown or does not answer.
pub(crate) async fn query_owner(node: &SchedulerNode, call: PeerCall) -> Option<PeerReply> {
    if let Some(reply) = answer_as_owner(node, &call) {
        return Some(reply);
    }
    let address = node.owner.borrow().as_ref().map(|owner| owner.address)?;
    let reply = tokio::time::timeout(CALL_TIMEOUT, node.owner_connection.call(address, &call));
    match reply.await {
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

/// Tells the owner of a job or a cancellation that was just recorded. The owner's watch of the
/// store shows it too, so that a message that does not arrive is not repeated.
pub(crate) fn announce(node: &Arc<SchedulerNode>, call: PeerCall) {
    let node = Arc::clone(node);
    tokio::spawn(async move {
        if query_owner(&node, call).await.is_none() {
            node.metrics.count_retry("announcement");
        }
    });
}

/// The owner's reply; `None` if this process does not own the schedule.
fn answer_as_owner(node: &SchedulerNode, call: &PeerCall) -> Option<PeerReply> {
    let leadership = node.leadership()?;
    let schedule = || lock(&leadership.schedule);
    Some(match call {
        PeerCall::State(job) => PeerReply::State(schedule().state(job)),
        PeerCall::Pending(queue) => PeerReply::Pending(schedule().pending(queue) as u64),
        PeerCall::Recorded(record) => {
            // A record that an earlier owner may have known was read at the takeover.
            let record = JobRecord::clone(record);
            schedule().add_job(record, None, 0, uptime_ms(), unix_millis());
            leadership.plan_notify.notify_one();
            PeerReply::Known
        }
        PeerCall::Cancelled { job, revision } => {
            apply_announced_cancel(&leadership, job, *revision);
            PeerReply::Known
        }
        PeerCall::StoreHeard
        | PeerCall::Submit(_)
        | PeerCall::Cancel(_)
        | PeerCall::StoredState(_)
        | PeerCall::CarryCalls => return None,
    })
}

/// Starts the task that accepts connections from other entries.
pub(crate) fn start(node: &Arc<SchedulerNode>, listener: TcpListener) {
    let node = Arc::clone(node);
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let node = Arc::clone(&node);
                    tokio::spawn(async move {
                        let answering = answer_peer(Arc::clone(&node), stream);
                        node.metrics.work.watch("peer-calls", answering).await;
                    });
                }
                Err(error) => {
                    log_event!(Warn, "accept-failed", error = error);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
}

/// Answers the calls of one connection until it ends.
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
        if call == PeerCall::CarryCalls {
            return carry_calls(&node, stream).await;
        }
        let is_store_unreachable = node.is_store_unreachable();
        let reply = match &call {
            PeerCall::StoreHeard => PeerReply::StoreHeard(!is_store_unreachable),
            PeerCall::Submit(_) | PeerCall::Cancel(_) | PeerCall::StoredState(_)
                if is_store_unreachable =>
            {
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
            call => answer_as_owner(&node, call).unwrap_or(PeerReply::NotOwner),
        };
        if let Err(fault) = write_frame(&mut stream, &reply).await {
            log_event!(Debug, "peer-disconnected", error = fault);
            return;
        }
    }
}
